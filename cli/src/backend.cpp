#include "backend.h"

#include "endivequay/digest.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

namespace endivequay::cli {

namespace {

using namespace std::chrono_literals;

// An instance responds from memory; a longer timeout only delays the report that it is unreachable.
constexpr Interval instanceRequestTimeout = 3s;

// Queries 1,700 instances, some of them unresponsive, within a few seconds.
constexpr std::size_t maxParallelRequests = 64;

Result<std::string> exchange(UpstreamClient &client, const Address &address,
    const std::string &method, const std::string &path, const HttpHeaders &headers)
{
    UpstreamRequest request;
    request.address = address;
    request.method = method;
    request.path = path;
    request.headers = headers;
    request.deadline = SteadyClock().now() + instanceRequestTimeout;
    UpstreamResponse response = client.send(request);
    if (response.outcome != UpstreamOutcome::Answered)
        return response.reason;
    if (response.status < 200 || response.status > 299)
        return Error { "instance.request", address.value(),
            method + " " + path + " returned status " + std::to_string(response.status) };
    return std::move(response.body);
}

std::vector<Result<std::string>> fetchAll(
    UpstreamClient &client, const std::vector<Address> &addresses, const std::string &path)
{
    std::vector<Result<std::string>> results(
        addresses.size(), Error { "instance.request", "", "no request was sent" });
    std::atomic<std::size_t> next = 0;
    const auto fetchNext = [&] {
        for (std::size_t i = next++; i < addresses.size(); i = next++)
            results[i] = exchange(client, addresses[i], "GET", path, {});
    };
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < std::min(maxParallelRequests, addresses.size()); ++i)
        threads.emplace_back(fetchNext);
    threads.clear();
    return results;
}

} // namespace

Backend networkBackend()
{
    const auto client = std::make_shared<UpstreamClient>();
    Backend backend;
    backend.now = [] { return SteadyClock().now(); };
    backend.sleep = [](Interval interval) { std::this_thread::sleep_for(interval); };
    backend.fetch = [client](const std::vector<Address> &addresses, const std::string &path) {
        return fetchAll(*client, addresses, path);
    };
    backend.post
        = [client](const Address &address, const std::string &path, const HttpHeaders &headers) {
              return exchange(*client, address, "POST", path, headers);
          };
    backend.randomBytes = [](std::size_t count) { return randomBytes(count); };
    return backend;
}

} // namespace endivequay::cli
