#include "endivequay/etcdstore.h"

#include "endivequay/detail/httpclient.h"
#include "etcdmessages.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace endivequay {

namespace {

using detail::HttpEnd;
using detail::HttpResult;
using detail::Json;
using detail::numberMember;
using detail::objectMember;

// In bytes. Fits a page of 16 documents of 1 MB each in base64, and a watch message of a change of
// that size.
constexpr std::size_t maxResponseSize = 32'000'000;

struct Call
{
    const char *step; ///< Step named in errors.
    const char *target;
    Json message;
    Instant deadline;
    bool idempotent; ///< May be retried; a second execution does no harm.
};

enum class ResponseKind {
    Success,
    Rejected, ///< The store responded with an error that proves that it did not execute the call.
    NotSent, ///< No byte was sent.
    Lost, ///< The store may have executed the call.
};

struct Response
{
    ResponseKind kind = ResponseKind::NotSent;
    Json json;
    Error reason;
};

enum GrpcCode {
    InvalidArgument = 3,
    NotFound = 5,
    PermissionDenied = 7,
    ResourceExhausted = 8,
    FailedPrecondition = 9,
    OutOfRange = 11,
    Unimplemented = 12,
    Unauthenticated = 16,
};

/// Returns whether \a code proves that a call was not executed. Other codes, such as Unavailable
/// ("request timed out"), can also be returned for a write that was applied.
bool provesNotExecuted(std::int64_t code)
{
    constexpr std::int64_t codes[] = { InvalidArgument, NotFound, PermissionDenied,
        ResourceExhausted, FailedPrecondition, OutOfRange, Unimplemented, Unauthenticated };
    return std::ranges::find(codes, code) != std::end(codes);
}

std::string errorText(const Json &json)
{
    const Json text = json.value("message", json.value("error", Json()));
    return text.is_string() ? text.get<std::string>() : json.dump().substr(0, 200);
}

/// Returns the error object of a response: member "error" in streamed responses, else the top
/// level.
const Json &errorObject(const Json &json)
{
    const Json &nested = objectMember(json, "error");
    return nested.empty() ? json : nested;
}

Response toResponse(const Call &call, const Address &endpoint, HttpResult result)
{
    Response response;
    response.reason = { call.step, endpoint.value(), std::move(result.reason) };
    if (result.end != HttpEnd::Complete) {
        response.kind = result.sent ? ResponseKind::Lost : ResponseKind::NotSent;
        return response;
    }
    response.kind = ResponseKind::Lost;
    response.json = Json::parse(result.body, nullptr, false);
    if (!response.json.is_object()) {
        response.reason.reason
            = "status " + std::to_string(result.status) + " without a JSON object";
        return response;
    }
    if (result.status == 200 && !response.json.contains("error")) {
        response.kind = ResponseKind::Success;
        return response;
    }
    const Json &error = errorObject(response.json);
    response.reason.reason = errorText(error);
    const std::int64_t code = numberMember(error, error.contains("code") ? "code" : "grpc_code");
    if (provesNotExecuted(code))
        response.kind = ResponseKind::Rejected;
    return response;
}

WriteOutcome outcomeOfFailure(const Response &response)
{
    return response.kind == ResponseKind::Lost ? WriteOutcome::Unknown : WriteOutcome::NotApplied;
}

detail::HttpRequest toHttpRequest(
    const Address &endpoint, const char *target, std::string_view body, Instant deadline)
{
    detail::HttpRequest http;
    http.address = endpoint;
    http.method = "POST";
    http.target = target;
    http.headers = { { "Content-Type", "application/json" } };
    http.body = body;
    http.deadline = deadline;
    http.answerLimit = maxResponseSize;
    return http;
}

LeaseResult toLease(const Call &call, const Response &response, const Json &json, Instant sent)
{
    LeaseResult result;
    if (response.kind != ResponseKind::Success) {
        result.outcome = outcomeOfFailure(response);
        result.reason = response.reason;
        return result;
    }
    result.id = LeaseId(numberMember(json, "ID"));
    const std::int64_t seconds = numberMember(json, "TTL");
    if (result.id == LeaseId(0)) {
        result.reason = { call.step, response.reason.peer, "the response has no lease id" };
        return result;
    }
    result.outcome = seconds > 0 ? WriteOutcome::Done : WriteOutcome::Conflict;
    result.expires = sent + std::chrono::seconds(seconds);
    return result;
}

} // namespace

struct EtcdStore::State
{
    explicit State(Settings s)
        : settings(std::move(s))
        // Idle connections are closed after 30 s, as servers commonly close them after a minute; 4
        // are enough because few calls run concurrently.
        , http({ settings.connectTimeout, std::chrono::seconds(30), 4 })
    { }

    const Address &endpoint(std::size_t number) const
    {
        return settings.endpoints[number % settings.endpoints.size()];
    }
    Response call(const Call &call);
    Response attempt(const Call &call, const std::string &body, const Address &endpoint, bool fresh,
        std::size_t attemptsLeft);

    const Settings settings;
    detail::HttpClient http;
    std::atomic<std::size_t> preferredEndpoint {
        0
    }; ///< Index of the endpoint that responded last.
};

Response EtcdStore::State::attempt(const Call &call, const std::string &body,
    const Address &endpoint, bool fresh, std::size_t attemptsLeft)
{
    const Instant now = SteadyClock().now();
    const Interval attemptTimeout = (call.deadline - now) / static_cast<std::int64_t>(attemptsLeft);
    // A write is not retried once it was sent, so it may use all of the remaining time.
    auto request = toHttpRequest(
        endpoint, call.target, body, call.idempotent ? now + attemptTimeout : call.deadline);
    request.fresh = fresh;
    return toResponse(call, endpoint, http.send(request));
}

Response EtcdStore::State::call(const Call &call)
{
    const std::string body = call.message.dump();
    const std::size_t start = preferredEndpoint;
    // An idle connection may be closed or broken; its endpoint then gets a second attempt.
    const bool hasIdleConnection = call.idempotent && http.idleConnections(endpoint(start)) > 0;
    const std::size_t attempts = settings.endpoints.size() + (hasIdleConnection ? 1 : 0);
    Response response;
    for (std::size_t i = 0; i < attempts; ++i) {
        const bool fresh = !call.idempotent || i > 0;
        response = attempt(call, body, endpoint(start + i), fresh, attempts - i);
        if (response.kind == ResponseKind::Success)
            preferredEndpoint = (start + i) % settings.endpoints.size();
        const bool mayRetry = response.kind == ResponseKind::NotSent
            || (response.kind == ResponseKind::Lost && call.idempotent);
        if (!mayRetry || SteadyClock().now() >= call.deadline)
            break;
    }
    return response;
}

Result<EtcdStore> EtcdStore::create(Settings settings)
{
    if (settings.endpoints.empty())
        return Error { "store.create", {}, "no endpoint is set" };
    const auto invalid = std::ranges::find_if(settings.endpoints, [](const Address &address) {
        return address.value().find(':') == std::string::npos
            || address.value().find_first_of("/@ \t\r\n") != std::string::npos;
    });
    if (invalid != settings.endpoints.end())
        return Error { "store.create", invalid->value(), "the endpoint is not ip:port" };
    return EtcdStore(std::make_shared<State>(std::move(settings)));
}

EtcdStore::EtcdStore(std::shared_ptr<State> state)
    : state_(std::move(state))
{ }

EtcdStore::~EtcdStore() = default;
EtcdStore::EtcdStore(EtcdStore &&) noexcept = default;
EtcdStore &EtcdStore::operator=(EtcdStore &&) noexcept = default;

Result<RangeResponse> EtcdStore::range(const RangeRequest &request)
{
    const Call call { "store.range", "/v3/kv/range", detail::toJson(request), request.deadline,
        true };
    const Response response = state_->call(call);
    if (response.kind != ResponseKind::Success)
        return response.reason;
    auto rangeResponse = detail::toRangeResponse(response.json);
    if (!rangeResponse)
        return Error { call.step, response.reason.peer, rangeResponse.lastReason().reason };
    return rangeResponse;
}

WriteResult EtcdStore::transact(const TransactionRequest &request)
{
    const auto tooLarge = std::ranges::find_if(
        request.puts, [](const Put &put) { return put.value.size() > maxStoreValueSize; });
    if (tooLarge != request.puts.end())
        return { WriteOutcome::NotApplied, {}, {},
            { "store.txn", {}, "the value of " + tooLarge->key + " exceeds the maximum size" } };
    const Call call { "store.txn", "/v3/kv/txn", detail::toJson(request), request.deadline, false };
    const Response response = state_->call(call);
    if (response.kind != ResponseKind::Success)
        return { outcomeOfFailure(response), {}, {}, response.reason };
    const Revision revision = detail::revisionOf(response.json);
    const bool succeeded = response.json.value("succeeded", Json()) == true;
    if (revision <= Revision(0))
        return { WriteOutcome::Unknown, {}, {},
            { call.step, response.reason.peer, "the response has no revision" } };
    if (succeeded)
        return { WriteOutcome::Done, revision, {}, {} };
    auto current = detail::toConflictValues(response.json);
    if (!current)
        return { WriteOutcome::Conflict, revision, {},
            { call.step, response.reason.peer, current.lastReason().reason } };
    return { WriteOutcome::Conflict, revision, *std::move(current), {} };
}

LeaseResult EtcdStore::grantLease(const LeaseGrantRequest &request)
{
    // If the response is lost, the lease has no keys and expires.
    const Call call { "store.lease_grant", "/v3/lease/grant", detail::toJson(request),
        request.deadline, false };
    const Instant sent = SteadyClock().now();
    const Response response = state_->call(call);
    return toLease(call, response, response.json, sent);
}

LeaseResult EtcdStore::keepLeaseAlive(const LeaseKeepAliveRequest &request)
{
    const Call call { "store.lease_keepalive", "/v3/lease/keepalive", detail::toJson(request),
        request.deadline, true };
    const Instant sent = SteadyClock().now();
    const Response response = state_->call(call);
    return toLease(call, response, objectMember(response.json, "result"), sent);
}

namespace {

/// Splits the streamed response to a watch into messages and passes them to the callback.
class WatchStream
{
public:
    WatchStream(Address endpoint, const WatchCallback &callback, std::stop_token stop)
        : endpoint_(std::move(endpoint))
        , callback_(callback)
        , stop_(std::move(stop))
    { }

    /// Adds a chunk of the response. Returns false if the watch has ended.
    bool add(std::string_view chunk)
    {
        buffer_.append(chunk);
        std::size_t start = 0;
        for (auto end = buffer_.find('\n'); end != std::string::npos && !hasEnded();
             end = buffer_.find('\n', start)) {
            addMessage(std::string_view(buffer_).substr(start, end - start));
            start = end + 1;
        }
        buffer_.erase(0, start);
        if (buffer_.size() > maxResponseSize)
            finish("a message exceeds the maximum size", false);
        return !hasEnded();
    }

    /// Reports the end of the watch, unless it was already reported or the owner stopped the watch.
    void finish(const std::string &reason, bool compacted)
    {
        if (hasEnded())
            return;
        ended_ = true;
        callback_({ {}, Error { "store.watch", endpoint_.value(), reason }, compacted });
    }

private:
    bool hasEnded() const { return ended_ || stop_.stop_requested(); }

    void addMessage(std::string_view line)
    {
        const Json json = Json::parse(line, nullptr, false);
        if (!json.is_object() || json.contains("error")) {
            finish(
                json.is_object() ? errorText(errorObject(json)) : "a message is not a JSON object",
                false);
            return;
        }
        const Json &result = objectMember(json, "result");
        const auto changes = detail::toChanges(result);
        if (!changes)
            finish(changes.lastReason().reason, false);
        else if (!changes->empty())
            callback_({ *changes, std::nullopt, false });
        if (result.value("canceled", Json()) == true)
            finish("the store canceled the watch", numberMember(result, "compact_revision") > 0);
    }

    const Address endpoint_;
    const WatchCallback &callback_;
    const std::stop_token stop_;
    std::string buffer_;
    bool ended_ = false;
};

} // namespace

WatchHandle EtcdStore::watch(const WatchRequest &request, WatchCallback callback)
{
    const auto run
        = [state = state_, request, callback = std::move(callback)](const std::stop_token &stop) {
              const std::string body = detail::toJson(request).dump();
              const std::size_t start = state->preferredEndpoint;
              const std::size_t count = state->settings.endpoints.size();
              for (std::size_t i = 0; i < count; ++i) {
                  const Address &endpoint = state->endpoint(start + i);
                  WatchStream stream(endpoint, callback, stop);
                  auto http = toHttpRequest(endpoint, "/v3/watch", body, request.deadline);
                  http.cancelled = stop;
                  http.stream = [&](std::string_view chunk) { return stream.add(chunk); };
                  const HttpResult result = state->http.send(http);
                  if (!result.sent && i + 1 < count && !stop.stop_requested())
                      continue;
                  // The next call starts with another endpoint, in case this one is faulty.
                  state->preferredEndpoint = (start + i + 1) % count;
                  stream.finish(result.end == HttpEnd::Complete
                          ? "the response ended with status " + std::to_string(result.status)
                          : result.reason,
                      false);
                  return;
              }
          };
    const auto thread = std::make_shared<std::jthread>(run);
    return WatchHandle([thread] {
        thread->request_stop();
        if (thread->get_id() == std::this_thread::get_id())
            thread->detach();
        else
            thread->join();
    });
}

} // namespace endivequay
