#include "server.h"

#include "endivequay/memorystore.h"

#include <restinio/utils/base64.hpp>

#include <map>

namespace endivequay {

namespace standins {

namespace {

constexpr int invalidArgument = 3;
constexpr int outOfRange = 11;

// Configuration and ledgers of a test run with 98 domains stay below 200 MB with this history.
constexpr std::size_t retainedChanges = 2'000;

constexpr Interval leaseCheckPeriod = std::chrono::milliseconds(100);

/// A request that is not in the subset; answered 400.
struct BadRequest
{
    std::string reason;
};

std::string encode(const std::string &bytes)
{
    return restinio::utils::base64::encode(bytes);
}

const Json &member(const Json &json, const char *name, const char *camelCase)
{
    static const Json none;
    if (!json.is_object())
        throw BadRequest { std::string("no object around ") + name };
    const auto found = json.contains(name) ? json.find(name) : json.find(camelCase);
    return found == json.end() ? none : *found;
}

std::string bytes(const Json &json, const char *name, const char *camelCase)
{
    const Json &text = member(json, name, camelCase);
    if (text.is_null())
        return {};
    if (!text.is_string())
        throw BadRequest { std::string(name) + " is not a string" };
    auto decoded = restinio::utils::base64::try_decode(text.get<std::string>());
    if (!decoded)
        throw BadRequest { std::string(name) + " is not base64" };
    return *decoded;
}

std::int64_t number(const Json &json, const char *name, const char *camelCase)
{
    const Json &value = member(json, name, camelCase);
    if (value.is_null())
        return 0;
    if (value.is_number_integer())
        return value.get<std::int64_t>();
    try {
        return std::stoll(value.get<std::string>());
    } catch (const std::exception &) {
        throw BadRequest { std::string(name) + " is not a number" };
    }
}

/// The prefix whose range of keys ends at \a end.
std::string prefixOf(std::string end)
{
    if (end == std::string(1, '\0'))
        return {};
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) - 1);
    return end;
}

RangeRequest toRange(const Json &json)
{
    RangeRequest request;
    request.key = bytes(json, "key", "key");
    request.at = Revision(number(json, "revision", "revision"));
    request.limit = static_cast<std::size_t>(number(json, "limit", "limit"));
    if (const auto end = bytes(json, "range_end", "rangeEnd"); !end.empty()) {
        const std::string start = std::exchange(request.key, prefixOf(end));
        request.scope = KeyScope::Prefix;
        // The first key after another one is written as that key with a zero byte.
        if (start != request.key && start.ends_with('\0'))
            request.after = start.substr(0, start.size() - 1);
        else if (start != request.key)
            throw BadRequest { "the range is not a prefix" };
    }
    return request;
}

TransactionRequest toTransaction(const Json &json)
{
    TransactionRequest request;
    for (const Json &compare : member(json, "compare", "compare")) {
        const Json &result = member(compare, "result", "result");
        if (member(compare, "target", "target") != "MOD"
            || !(result.is_null() || result == "EQUAL"))
            throw BadRequest { "only MOD EQUAL is supported" };
        request.compares.push_back({ bytes(compare, "key", "key"),
            Revision(number(compare, "mod_revision", "modRevision")) });
    }
    for (const Json &operation : member(json, "success", "success")) {
        const Json &put = member(operation, "request_put", "requestPut");
        const Json &erase = member(operation, "request_delete_range", "requestDeleteRange");
        if (!put.is_null())
            request.puts.push_back({ bytes(put, "key", "key"), bytes(put, "value", "value"),
                LeaseId(number(put, "lease", "lease")) });
        else if (!erase.is_null())
            request.deletes.push_back(bytes(erase, "key", "key"));
        else
            throw BadRequest { "only puts and deletes are supported" };
    }
    return request;
}

Json toJson(const KeyValue &value)
{
    Json json = { { "key", encode(value.key) },
        { "mod_revision", std::to_string(value.modified.value()) } };
    if (!value.value.empty())
        json["value"] = encode(value.value);
    if (value.lease != LeaseId(0))
        json["lease"] = std::to_string(value.lease.value());
    return json;
}

Json toJson(const Change &change)
{
    KeyValue value { change.key, change.value.value_or(""), change.modified, {} };
    Json json = { { "kv", toJson(value) } };
    if (!change.value)
        json["type"] = "DELETE";
    return json;
}

class StoreService : public Service, public std::enable_shared_from_this<StoreService>
{
public:
    explicit StoreService(Scheduler &scheduler)
        : scheduler_(scheduler)
        , store_(retainedChanges)
    { }

    void handle(const ExchangePointer &exchange) override;
    void checkLeases();

private:
    struct Reply
    {
        int status = 200;
        Json json;
        bool lost = false;
    };
    struct RunningWatch
    {
        ExchangePointer exchange;
        WatchHandle handle;
    };

    void control(Exchange &exchange);
    Json counts() const;
    void call(const std::string &kind, const ExchangePointer &exchange);
    Reply run(const std::string &kind, const Json &json);
    Reply range(const Json &json);
    Reply transact(const Json &json);
    Reply grantLease(const Json &json);
    Reply keepLeaseAlive(const Json &json);
    void watch(const Json &json, const ExchangePointer &exchange);
    void endWatches();
    Json header() const { return { { "revision", std::to_string(store_.revision().value()) } }; }
    static Reply failure(int code, const std::string &reason)
    {
        return { 400, { { "error", reason }, { "message", reason }, { "code", code } } };
    }

    Scheduler &scheduler_;
    MemoryStore store_;
    std::map<std::string, std::size_t> counts_;
    std::map<std::uint64_t, RunningWatch> watches_;
    std::uint64_t lastWatch_ = 0;
    bool down_ = false;
    bool loseNextAnswer_ = false;
    std::uint32_t delayMs_ = 0;
};

const std::map<std::string, std::string> &callKinds()
{
    static const std::map<std::string, std::string> kinds = { { "/v3/kv/range", "range" },
        { "/v3/kv/txn", "txn" }, { "/v3/lease/grant", "lease_grant" },
        { "/v3/lease/keepalive", "lease_keepalive" }, { "/v3/watch", "watch" } };
    return kinds;
}

void StoreService::handle(const ExchangePointer &exchange)
{
    const auto kind = callKinds().find(exchange->path());
    if (exchange->path() == "/control" && exchange->method == "POST")
        control(*exchange);
    else if (exchange->path() == "/control/counts" && exchange->method == "GET")
        exchange->answerJson(200, counts());
    else if (kind != callKinds().end() && exchange->method == "POST")
        call(kind->second, exchange);
    else
        exchange->answerJson(404, { { "error", "no such path" }, { "code", 5 } });
}

void StoreService::checkLeases()
{
    store_.advanceTo(SteadyClock().now());
    scheduler_.after(leaseCheckPeriod, [self = weak_from_this()] {
        if (const auto service = self.lock())
            service->checkLeases();
    });
}

void StoreService::control(Exchange &exchange)
{
    const Json json = Json::parse(exchange.body, nullptr, false);
    if (!json.is_object()) {
        exchange.answerJson(400, { { "error", "not a JSON object" } });
        return;
    }
    const Json down = json.value("down", Json(down_));
    const Json lose = json.value("lose_next_answer", Json(loseNextAnswer_));
    const Json delay = json.value("delay_ms", Json(delayMs_));
    if (!down.is_boolean() || !lose.is_boolean() || !delay.is_number_unsigned()) {
        exchange.answerJson(400, { { "error", "a value has the wrong type" } });
        return;
    }
    down_ = down.get<bool>();
    loseNextAnswer_ = lose.get<bool>();
    delayMs_ = delay.get<std::uint32_t>();
    if (down_)
        endWatches();
    exchange.answerJson(200, Json::object());
}

Json StoreService::counts() const
{
    Json json = { { "running_watches", watches_.size() } };
    std::size_t total = 0;
    for (const auto &[path, kind] : callKinds()) {
        const auto found = counts_.find(kind);
        const std::size_t count = found == counts_.end() ? 0 : found->second;
        json[kind] = count;
        total += count;
    }
    json["total"] = total;
    return json;
}

void StoreService::call(const std::string &kind, const ExchangePointer &exchange)
{
    ++counts_[kind];
    if (down_) {
        exchange->closeWithoutAnswer();
        return;
    }
    store_.advanceTo(SteadyClock().now());
    Reply reply;
    try {
        const Json json = Json::parse(exchange->body, nullptr, false);
        if (kind == "watch") {
            watch(json, exchange);
            return;
        }
        reply = run(kind, json);
    } catch (const BadRequest &bad) {
        reply = failure(invalidArgument, bad.reason);
    }
    const auto answer = [exchange, reply] {
        if (reply.lost)
            exchange->closeWithoutAnswer();
        else
            exchange->answerJson(reply.status, reply.json);
    };
    if (delayMs_ == 0)
        answer();
    else
        scheduler_.after(std::chrono::milliseconds(delayMs_), answer);
}

StoreService::Reply StoreService::run(const std::string &kind, const Json &json)
{
    if (kind == "range")
        return range(json);
    if (kind == "txn")
        return transact(json);
    return kind == "lease_grant" ? grantLease(json) : keepLeaseAlive(json);
}

StoreService::Reply StoreService::range(const Json &json)
{
    const auto response = store_.range(toRange(json));
    if (!response)
        return failure(outOfRange, response.lastReason().reason);
    Json answer = { { "header", header() } };
    for (const KeyValue &value : response->values)
        answer["kvs"].push_back(toJson(value));
    if (response->more)
        answer["more"] = true;
    return { 200, answer };
}

StoreService::Reply StoreService::transact(const Json &json)
{
    const TransactionRequest request = toTransaction(json);
    const WriteResult result = store_.transact(request);
    if (result.outcome == WriteOutcome::NotApplied)
        return failure(invalidArgument, result.reason.reason);
    Json answer = { { "header", header() } };
    if (result.outcome == WriteOutcome::Done) {
        answer["succeeded"] = true;
    } else {
        for (const KeyValue &value : result.current)
            answer["responses"].push_back(
                { { "response_range", { { "kvs", Json::array({ toJson(value) }) } } } });
    }
    return { 200, answer, std::exchange(loseNextAnswer_, false) };
}

StoreService::Reply StoreService::grantLease(const Json &json)
{
    const std::int64_t seconds = number(json, "TTL", "TTL");
    const LeaseResult result = store_.grantLease({ seconds, {} });
    if (result.outcome != WriteOutcome::Done)
        return failure(invalidArgument, result.reason.reason);
    return { 200,
        { { "header", header() }, { "ID", std::to_string(result.id.value()) },
            { "TTL", std::to_string(seconds) } } };
}

StoreService::Reply StoreService::keepLeaseAlive(const Json &json)
{
    const LeaseId id(number(json, "ID", "ID"));
    const LeaseResult result = store_.keepLeaseAlive({ id, {} });
    Json renewed = { { "header", header() }, { "ID", std::to_string(id.value()) } };
    if (result.outcome == WriteOutcome::Done) {
        const auto left
            = std::chrono::ceil<std::chrono::seconds>(result.expires - SteadyClock().now());
        renewed["TTL"] = std::to_string(left.count());
    }
    return { 200, { { "result", renewed } } };
}

void StoreService::watch(const Json &json, const ExchangePointer &exchange)
{
    const Json &create = member(json, "create_request", "createRequest");
    const RangeRequest keys = toRange(create);
    const WatchRequest request { keys.key, keys.scope,
        Revision(number(create, "start_revision", "startRevision")), Instant::max() };
    exchange->startStream();
    exchange->stream(
        Json({ { "result", { { "header", header() }, { "created", true } } } }).dump() + "\n");
    const std::uint64_t id = ++lastWatch_;
    watches_[id].exchange = exchange;
    watches_[id].handle = store_.watch(request, [this, exchange](const WatchMessage &message) {
        Json result = { { "header", header() } };
        for (const Change &change : message.changes)
            result["events"].push_back(toJson(change));
        if (message.ended) {
            result["canceled"] = true;
            result["compact_revision"] = message.compacted ? header()["revision"] : Json("0");
        }
        exchange->stream(Json({ { "result", result } }).dump() + "\n");
    });
    exchange->whenClosed([self = weak_from_this(), id] {
        if (const auto service = self.lock())
            service->watches_.erase(id);
    });
}

void StoreService::endWatches()
{
    for (auto &[id, watch] : std::exchange(watches_, {})) {
        watch.handle.stop();
        watch.exchange->endStream();
    }
}

} // namespace

} // namespace standins

Result<Standin> startStoreStandin(const Address &listen)
{
    return standins::startServer(listen, [](standins::Scheduler &scheduler) {
        auto service = std::make_shared<standins::StoreService>(scheduler);
        service->checkLeases();
        return service;
    });
}

} // namespace endivequay
