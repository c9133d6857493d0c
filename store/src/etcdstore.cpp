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
using detail::numberIn;
using detail::objectIn;

// A page of 16 documents of 1 MB in base64, and one watch message of a change of that size.
constexpr std::size_t answerLimit = 32'000'000;

struct Call
{
    const char *step; ///< For errors.
    const char *target;
    Json message;
    Instant deadline;
    bool mayRepeat; ///< A second run does no harm.
};

enum class AnswerKind {
    Answered,
    Rejected, ///< The store says why it did not run the call.
    NotSent,
    Lost, ///< The store may have run the call.
};

struct Answer
{
    AnswerKind kind = AnswerKind::NotSent;
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

// Other codes, such as Unavailable ("request timed out"), can also follow a write that took effect.
bool provesNotRun(std::int64_t code)
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

/// Errors of streamed answers are nested in "error", others are at the top level.
const Json &errorObject(const Json &json)
{
    const Json &nested = objectIn(json, "error");
    return nested.empty() ? json : nested;
}

Answer toAnswer(const Call &call, const Address &endpoint, HttpResult result)
{
    Answer answer;
    answer.reason = { call.step, endpoint.value(), std::move(result.reason) };
    if (result.end != HttpEnd::Complete) {
        answer.kind = result.sent ? AnswerKind::Lost : AnswerKind::NotSent;
        return answer;
    }
    answer.kind = AnswerKind::Lost;
    answer.json = Json::parse(result.body, nullptr, false);
    if (!answer.json.is_object()) {
        answer.reason.reason = "status " + std::to_string(result.status) + " without JSON";
        return answer;
    }
    if (result.status == 200 && !answer.json.contains("error")) {
        answer.kind = AnswerKind::Answered;
        return answer;
    }
    const Json &error = errorObject(answer.json);
    answer.reason.reason = errorText(error);
    const std::int64_t code = numberIn(error, error.contains("code") ? "code" : "grpc_code");
    if (provesNotRun(code))
        answer.kind = AnswerKind::Rejected;
    return answer;
}

WriteOutcome failedOutcome(const Answer &answer)
{
    return answer.kind == AnswerKind::Lost ? WriteOutcome::Unknown : WriteOutcome::NotApplied;
}

detail::HttpRequest toHttp(
    const Address &endpoint, const char *target, std::string_view body, Instant deadline)
{
    detail::HttpRequest http;
    http.address = endpoint;
    http.method = "POST";
    http.target = target;
    http.headers = { { "Content-Type", "application/json" } };
    http.body = body;
    http.deadline = deadline;
    http.answerLimit = answerLimit;
    return http;
}

LeaseResult toLease(const Call &call, const Answer &answer, const Json &json, Instant sent)
{
    LeaseResult result;
    if (answer.kind != AnswerKind::Answered) {
        result.outcome = failedOutcome(answer);
        result.reason = answer.reason;
        return result;
    }
    result.id = LeaseId(numberIn(json, "ID"));
    const std::int64_t seconds = numberIn(json, "TTL");
    if (result.id == LeaseId(0)) {
        result.reason = { call.step, answer.reason.peer, "the answer has no lease id" };
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
        // Few calls run at the same time; servers commonly keep idle connections for a minute.
        , http({ settings.connectLimit, std::chrono::seconds(30), 4 })
    { }

    const Address &endpoint(std::size_t number) const
    {
        return settings.endpoints[number % settings.endpoints.size()];
    }
    Answer call(const Call &call);
    Answer attempt(const Call &call, const std::string &body, const Address &endpoint, bool fresh,
        std::size_t attemptsLeft);

    const Settings settings;
    detail::HttpClient http;
    std::atomic<std::size_t> preferred { 0 }; ///< Endpoint that answered last.
};

Answer EtcdStore::State::attempt(const Call &call, const std::string &body, const Address &endpoint,
    bool fresh, std::size_t attemptsLeft)
{
    const Instant now = SteadyClock().now();
    const Interval share = (call.deadline - now) / static_cast<std::int64_t>(attemptsLeft);
    // A write that was sent is not sent again, so it can use the time of all attempts.
    auto request
        = toHttp(endpoint, call.target, body, call.mayRepeat ? now + share : call.deadline);
    request.fresh = fresh;
    return toAnswer(call, endpoint, http.send(request));
}

Answer EtcdStore::State::call(const Call &call)
{
    const std::string body = call.message.dump();
    const std::size_t start = preferred;
    // A kept connection may have closed or gone silent; its endpoint then gets a second attempt.
    const bool kept = call.mayRepeat && http.idleConnections(endpoint(start)) > 0;
    const std::size_t attempts = settings.endpoints.size() + (kept ? 1 : 0);
    Answer answer;
    for (std::size_t i = 0; i < attempts; ++i) {
        const bool fresh = !call.mayRepeat || i > 0;
        answer = attempt(call, body, endpoint(start + i), fresh, attempts - i);
        if (answer.kind == AnswerKind::Answered)
            preferred = (start + i) % settings.endpoints.size();
        const bool mayGoOn = answer.kind == AnswerKind::NotSent
            || (answer.kind == AnswerKind::Lost && call.mayRepeat);
        if (!mayGoOn || SteadyClock().now() >= call.deadline)
            break;
    }
    return answer;
}

Result<EtcdStore> EtcdStore::create(Settings settings)
{
    if (settings.endpoints.empty())
        return Error { "store.create", {}, "there is no endpoint" };
    const auto bad = std::ranges::find_if(settings.endpoints, [](const Address &address) {
        return address.value().find(':') == std::string::npos
            || address.value().find_first_of("/@ \t\r\n") != std::string::npos;
    });
    if (bad != settings.endpoints.end())
        return Error { "store.create", bad->value(), "the endpoint is not ip:port" };
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
    const Answer answer = state_->call(call);
    if (answer.kind != AnswerKind::Answered)
        return answer.reason;
    auto response = detail::toRangeResponse(answer.json);
    if (!response)
        return Error { call.step, answer.reason.peer, response.lastReason().reason };
    return response;
}

WriteResult EtcdStore::transact(const TransactionRequest &request)
{
    const auto tooLarge = std::ranges::find_if(
        request.puts, [](const Put &put) { return put.value.size() > maxStoreValueSize; });
    if (tooLarge != request.puts.end())
        return { WriteOutcome::NotApplied, {}, {},
            { "store.txn", {}, "the value of " + tooLarge->key + " exceeds the limit" } };
    const Call call { "store.txn", "/v3/kv/txn", detail::toJson(request), request.deadline, false };
    const Answer answer = state_->call(call);
    if (answer.kind != AnswerKind::Answered)
        return { failedOutcome(answer), {}, {}, answer.reason };
    const Revision revision = detail::revisionOf(answer.json);
    const bool succeeded = answer.json.value("succeeded", Json()) == true;
    if (revision <= Revision(0))
        return { WriteOutcome::Unknown, {}, {},
            { call.step, answer.reason.peer, "the answer has no revision" } };
    if (succeeded)
        return { WriteOutcome::Done, revision, {}, {} };
    auto current = detail::toConflictValues(answer.json);
    if (!current)
        return { WriteOutcome::Conflict, revision, {},
            { call.step, answer.reason.peer, current.lastReason().reason } };
    return { WriteOutcome::Conflict, revision, *std::move(current), {} };
}

LeaseResult EtcdStore::grantLease(const LeaseGrantRequest &request)
{
    // A grant whose answer is lost leaves a lease without keys, which lapses by itself.
    const Call call { "store.lease_grant", "/v3/lease/grant", detail::toJson(request),
        request.deadline, false };
    const Instant sent = SteadyClock().now();
    const Answer answer = state_->call(call);
    return toLease(call, answer, answer.json, sent);
}

LeaseResult EtcdStore::keepLeaseAlive(const LeaseKeepAliveRequest &request)
{
    const Call call { "store.lease_keepalive", "/v3/lease/keepalive", detail::toJson(request),
        request.deadline, true };
    const Instant sent = SteadyClock().now();
    const Answer answer = state_->call(call);
    return toLease(call, answer, objectIn(answer.json, "result"), sent);
}

namespace {

/// Splits the streamed answer to a watch into messages and passes them on.
class WatchStream
{
public:
    WatchStream(Address endpoint, const WatchCallback &callback, std::stop_token stop)
        : endpoint_(std::move(endpoint))
        , callback_(callback)
        , stop_(std::move(stop))
    { }

    /// Takes a piece of the answer; false if the watch is over.
    bool add(std::string_view piece)
    {
        buffer_.append(piece);
        std::size_t start = 0;
        for (auto end = buffer_.find('\n'); end != std::string::npos && !over();
             end = buffer_.find('\n', start)) {
            addMessage(std::string_view(buffer_).substr(start, end - start));
            start = end + 1;
        }
        buffer_.erase(0, start);
        if (buffer_.size() > answerLimit)
            finish("a message exceeds the limit", false);
        return !over();
    }

    /// Reports the end unless it was reported before or the owner stopped the watch.
    void finish(const std::string &reason, bool compacted)
    {
        if (over())
            return;
        ended_ = true;
        callback_({ {}, Error { "store.watch", endpoint_.value(), reason }, compacted });
    }

private:
    bool over() const { return ended_ || stop_.stop_requested(); }

    void addMessage(std::string_view line)
    {
        const Json json = Json::parse(line, nullptr, false);
        if (!json.is_object() || json.contains("error")) {
            finish(
                json.is_object() ? errorText(errorObject(json)) : "a message is not JSON", false);
            return;
        }
        const Json &result = objectIn(json, "result");
        const auto changes = detail::toChanges(result);
        if (!changes)
            finish(changes.lastReason().reason, false);
        else if (!changes->empty())
            callback_({ *changes, std::nullopt, false });
        if (result.value("canceled", Json()) == true)
            finish("the store cancelled the watch", numberIn(result, "compact_revision") > 0);
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
              const std::size_t start = state->preferred;
              const std::size_t count = state->settings.endpoints.size();
              for (std::size_t i = 0; i < count; ++i) {
                  const Address &endpoint = state->endpoint(start + i);
                  WatchStream stream(endpoint, callback, stop);
                  auto http = toHttp(endpoint, "/v3/watch", body, request.deadline);
                  http.cancelled = stop;
                  http.stream = [&](std::string_view piece) { return stream.add(piece); };
                  const HttpResult result = state->http.send(http);
                  if (!result.sent && i + 1 < count && !stop.stop_requested())
                      continue;
                  // The next watch starts elsewhere, in case this endpoint is the cause.
                  state->preferred = (start + i + 1) % count;
                  stream.finish(result.end == HttpEnd::Complete
                          ? "the answer ended with status " + std::to_string(result.status)
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
