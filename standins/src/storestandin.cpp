#include "server.h"

#include "endivequay/memorystore.h"

#include <restinio/utils/base64.hpp>

#include <map>

namespace endivequay {

namespace standins {

namespace {

constexpr int grpcInvalidArgument = 3;
constexpr int grpcOutOfRange = 11;

// With this history, a test run with 98 domains keeps configuration and ledgers below 200 MB.
constexpr std::size_t retainedChanges = 2'000;

constexpr Interval leaseCheckInterval = std::chrono::milliseconds(100);

/// A request outside the supported subset; the response has status 400.
struct BadRequest
{
    std::string reason;
};

std::string encode(const std::string &bytes)
{
    return restinio::utils::base64::encode(bytes);
}

const Json &field(const Json &json, const char *name, const char *camelCase)
{
    static const Json none;
    if (!json.is_object())
        throw BadRequest { std::string("no JSON object with ") + name };
    const auto found = json.contains(name) ? json.find(name) : json.find(camelCase);
    return found == json.end() ? none : *found;
}

std::string bytesField(const Json &json, const char *name, const char *camelCase)
{
    const Json &text = field(json, name, camelCase);
    if (text.is_null())
        return {};
    if (!text.is_string())
        throw BadRequest { std::string(name) + " is not a string" };
    auto decoded = restinio::utils::base64::try_decode(text.get<std::string>());
    if (!decoded)
        throw BadRequest { std::string(name) + " is not base64" };
    return *decoded;
}

std::int64_t integerField(const Json &json, const char *name, const char *camelCase)
{
    const Json &value = field(json, name, camelCase);
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

/// Inverse of etcd's range_end of a prefix: the prefix whose key range ends at \a end.
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
    request.key = bytesField(json, "key", "key");
    request.at = Revision(integerField(json, "revision", "revision"));
    request.limit = static_cast<std::size_t>(integerField(json, "limit", "limit"));
    if (const auto end = bytesField(json, "range_end", "rangeEnd"); !end.empty()) {
        const std::string start = std::exchange(request.key, prefixOf(end));
        request.scope = KeyScope::Prefix;
        // The successor of a key is that key with a zero byte appended.
        if (start != request.key && start.ends_with('\0'))
            request.after = start.substr(0, start.size() - 1);
        else if (start != request.key)
            throw BadRequest { "only prefix ranges are supported" };
    }
    return request;
}

TransactionRequest toTransaction(const Json &json)
{
    TransactionRequest request;
    for (const Json &compare : field(json, "compare", "compare")) {
        const Json &result = field(compare, "result", "result");
        if (field(compare, "target", "target") != "MOD" || !(result.is_null() || result == "EQUAL"))
            throw BadRequest { "only MOD EQUAL compares are supported" };
        request.compares.push_back({ bytesField(compare, "key", "key"),
            Revision(integerField(compare, "mod_revision", "modRevision")) });
    }
    for (const Json &operation : field(json, "success", "success")) {
        const Json &put = field(operation, "request_put", "requestPut");
        const Json &deleteRange = field(operation, "request_delete_range", "requestDeleteRange");
        if (!put.is_null())
            request.puts.push_back({ bytesField(put, "key", "key"),
                bytesField(put, "value", "value"), LeaseId(integerField(put, "lease", "lease")) });
        else if (!deleteRange.is_null())
            request.deletes.push_back(bytesField(deleteRange, "key", "key"));
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
    void close() override { watches_.clear(); }
    void checkLeases();

private:
    struct Reply
    {
        int status = 200;
        Json json;
        bool dropsConnection = false;
    };
    struct RunningWatch
    {
        ExchangePointer exchange;
        WatchHandle handle;
    };

    void handleControl(Exchange &exchange);
    Json callCountsJson() const;
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
    std::map<std::string, std::size_t> callCounts_;
    std::map<std::uint64_t, RunningWatch> watches_;
    std::uint64_t lastWatchId_ = 0;
    bool isDown_ = false;
    bool dropNextResponse_ = false;
    std::uint32_t responseDelayMs_ = 0;
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
        handleControl(*exchange);
    else if (exchange->path() == "/control/counts" && exchange->method == "GET")
        exchange->respondJson(200, callCountsJson());
    else if (kind != callKinds().end() && exchange->method == "POST")
        call(kind->second, exchange);
    else
        exchange->respondJson(404, { { "error", "no such path" }, { "code", 5 } });
}

void StoreService::checkLeases()
{
    store_.advanceTo(SteadyClock().now());
    scheduler_.runAfter(leaseCheckInterval, [self = weak_from_this()] {
        if (const auto service = self.lock())
            service->checkLeases();
    });
}

void StoreService::handleControl(Exchange &exchange)
{
    const Json json = Json::parse(exchange.body, nullptr, false);
    if (!json.is_object()) {
        exchange.respondJson(400, { { "error", "not a JSON object" } });
        return;
    }
    const Json down = json.value("down", Json(isDown_));
    const Json lose = json.value("lose_next_answer", Json(dropNextResponse_));
    const Json delay = json.value("delay_ms", Json(responseDelayMs_));
    if (!down.is_boolean() || !lose.is_boolean() || !delay.is_number_unsigned()) {
        exchange.respondJson(400, { { "error", "a value has the wrong type" } });
        return;
    }
    isDown_ = down.get<bool>();
    dropNextResponse_ = lose.get<bool>();
    responseDelayMs_ = delay.get<std::uint32_t>();
    if (isDown_)
        endWatches();
    exchange.respondJson(200, Json::object());
}

Json StoreService::callCountsJson() const
{
    Json json = { { "running_watches", watches_.size() } };
    std::size_t total = 0;
    for (const auto &[path, kind] : callKinds()) {
        const auto found = callCounts_.find(kind);
        const std::size_t count = found == callCounts_.end() ? 0 : found->second;
        json[kind] = count;
        total += count;
    }
    json["total"] = total;
    return json;
}

void StoreService::call(const std::string &kind, const ExchangePointer &exchange)
{
    ++callCounts_[kind];
    if (isDown_) {
        exchange->closeWithoutResponse();
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
        reply = failure(grpcInvalidArgument, bad.reason);
    }
    const auto answer = [exchange, reply] {
        if (reply.dropsConnection)
            exchange->closeWithoutResponse();
        else
            exchange->respondJson(reply.status, reply.json);
    };
    if (responseDelayMs_ == 0)
        answer();
    else
        scheduler_.runAfter(std::chrono::milliseconds(responseDelayMs_), answer);
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
        return failure(grpcOutOfRange, response.lastReason().reason);
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
        return failure(grpcInvalidArgument, result.reason.reason);
    Json answer = { { "header", header() } };
    if (result.outcome == WriteOutcome::Done) {
        answer["succeeded"] = true;
    } else {
        for (const KeyValue &value : result.current)
            answer["responses"].push_back(
                { { "response_range", { { "kvs", Json::array({ toJson(value) }) } } } });
    }
    return { 200, answer, std::exchange(dropNextResponse_, false) };
}

StoreService::Reply StoreService::grantLease(const Json &json)
{
    const std::int64_t seconds = integerField(json, "TTL", "TTL");
    const LeaseResult result = store_.grantLease({ seconds, {} });
    if (result.outcome != WriteOutcome::Done)
        return failure(grpcInvalidArgument, result.reason.reason);
    return { 200,
        { { "header", header() }, { "ID", std::to_string(result.id.value()) },
            { "TTL", std::to_string(seconds) } } };
}

StoreService::Reply StoreService::keepLeaseAlive(const Json &json)
{
    const LeaseId id(integerField(json, "ID", "ID"));
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
    const Json &create = field(json, "create_request", "createRequest");
    const RangeRequest keys = toRange(create);
    const WatchRequest request { keys.key, keys.scope,
        Revision(integerField(create, "start_revision", "startRevision")), Instant::max() };
    exchange->startStream();
    exchange->stream(
        Json({ { "result", { { "header", header() }, { "created", true } } } }).dump() + "\n");
    const std::uint64_t id = ++lastWatchId_;
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
    exchange->onClose([self = weak_from_this(), id] {
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
