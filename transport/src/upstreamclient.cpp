#include "endivequay/upstreamclient.h"

#include "endivequay/detail/httpclient.h"

#include <algorithm>
#include <array>

namespace endivequay {

namespace {

using detail::equalIgnoringCase;
using detail::HttpEnd;

// Headers of RFC 9110, section 7.6.1, and those that the client sets itself.
constexpr std::array<std::string_view, 12> hopByHopHeaders
    = { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
          "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect" };

// Servers that pass headers to programs as environment variables map '-' to '_', so both spellings
// must be recognized.
bool isKeyHeader(std::string_view name)
{
    std::string spelled(name);
    std::ranges::replace(spelled, '_', '-');
    return equalIgnoringCase(spelled, "Endivequay-Key");
}

/// Header names listed in the Connection headers of \a headers.
std::vector<std::string> connectionOptions(const HttpHeaders &headers)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : headers) {
        if (!equalIgnoringCase(name, "Connection"))
            continue;
        std::string word;
        for (const char c : value + ",") {
            if (c != ',' && c != ' ' && c != '\t')
                word += c;
            else if (!word.empty())
                names.push_back(std::exchange(word, {}));
        }
    }
    return names;
}

HttpHeaders withoutHopByHopHeaders(const HttpHeaders &headers)
{
    const auto listed = connectionOptions(headers);
    const auto isHopByHop = [&](const auto &header) {
        const auto same
            = [&](std::string_view name) { return equalIgnoringCase(name, header.first); };
        return std::ranges::any_of(hopByHopHeaders, same) || std::ranges::any_of(listed, same);
    };
    HttpHeaders kept = headers;
    std::erase_if(kept, isHopByHop);
    return kept;
}

detail::HttpRequest toHttp(const UpstreamRequest &request, std::size_t maxResponseBytes)
{
    detail::HttpRequest http;
    http.address = request.address;
    http.method = request.method;
    http.target = request.path;
    http.headers = withoutHopByHopHeaders(request.headers);
    std::erase_if(http.headers, [](const auto &header) { return isKeyHeader(header.first); });
    http.body = request.body;
    http.deadline = request.deadline;
    http.fresh = request.kind == RequestKind::Once;
    http.cancelled = request.cancelled;
    http.answerLimit = maxResponseBytes;
    return http;
}

UpstreamFailure toFailure(HttpEnd end)
{
    switch (end) {
    case HttpEnd::Complete:
        return UpstreamFailure::None;
    case HttpEnd::Malformed:
        return UpstreamFailure::Malformed;
    case HttpEnd::ConnectFailed:
        return UpstreamFailure::Connect;
    case HttpEnd::Deadline:
        return UpstreamFailure::Deadline;
    case HttpEnd::Cancelled:
        return UpstreamFailure::Cancelled;
    case HttpEnd::ReusedConnectionClosed:
        return UpstreamFailure::ReusedConnectionClosed;
    case HttpEnd::Incomplete:
        return UpstreamFailure::Incomplete;
    case HttpEnd::TooLarge:
        return UpstreamFailure::TooLarge;
    }
    return UpstreamFailure::Incomplete;
}

bool declaresNotRun(const HttpHeaders &headers)
{
    return std::ranges::any_of(headers, [](const auto &header) {
        return equalIgnoringCase(header.first, "Endivequay-Not-Run")
            && equalIgnoringCase(header.second, "true");
    });
}

UpstreamResponse failedResponse(const Address &address, detail::HttpResult result)
{
    UpstreamResponse response;
    response.outcome = result.sent ? UpstreamOutcome::Unknown : UpstreamOutcome::NotRun;
    response.failure = toFailure(result.end);
    response.reason = { "upstream.send", address.value(), std::move(result.reason) };
    return response;
}

UpstreamResponse completeResponse(const Address &address, detail::HttpResult result)
{
    UpstreamResponse response;
    response.outcome = UpstreamOutcome::Answered;
    response.status = result.status;
    response.headers = withoutHopByHopHeaders(result.headers);
    response.body = std::move(result.body);
    if (declaresNotRun(response.headers)) {
        response.outcome = UpstreamOutcome::NotRun;
        response.failure = UpstreamFailure::Declined;
        response.reason = { "upstream.send", address.value(), "the upstream declined the request" };
    }
    return response;
}

} // namespace

struct UpstreamClient::State
{
    const Settings settings;
    detail::HttpClient http;
};

UpstreamClient::UpstreamClient()
    : UpstreamClient(Settings {})
{ }

UpstreamClient::UpstreamClient(Settings settings)
    : state_(new State { settings,
        detail::HttpClient(
            { settings.connectTimeout, settings.idleTimeout, settings.idlePerUpstream }) })
{ }

UpstreamClient::~UpstreamClient() = default;

UpstreamResponse UpstreamClient::send(const UpstreamRequest &request)
{
    auto result = state_->http.send(toHttp(request, state_->settings.maxResponseBytes));
    if (result.end != HttpEnd::Complete)
        return failedResponse(request.address, std::move(result));
    return completeResponse(request.address, std::move(result));
}

void UpstreamClient::closeIdle(const Address &address)
{
    state_->http.closeIdle(address);
}

std::size_t UpstreamClient::idleConnections(const Address &address) const
{
    return state_->http.idleConnections(address);
}

} // namespace endivequay
