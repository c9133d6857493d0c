#include "etcdmessages.h"

#include "endivequay/base64.h"

#include <charconv>

namespace endivequay::detail {

namespace {

const Json &emptyObject()
{
    static const Json empty = Json::object();
    return empty;
}

const Json &arrayMember(const Json &json, const char *name)
{
    static const Json empty = Json::array();
    const auto found = json.is_object() ? json.find(name) : json.end();
    return found != json.end() && found->is_array() ? *found : empty;
}

std::string toDecimal(std::int64_t value)
{
    return std::to_string(value);
}

/// Returns the exclusive end of the range of keys that start with \a prefix. "\0" means no end.
std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff)
        prefix.pop_back();
    if (prefix.empty())
        return std::string(1, '\0');
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}

void setKeys(Json &json, const std::string &key, KeyScope scope, const std::string &after)
{
    const std::string first = after.empty() ? key : after + '\0';
    json["key"] = toBase64(first.empty() ? std::string(1, '\0') : first);
    if (scope == KeyScope::Prefix)
        json["range_end"] = toBase64(prefixEnd(key));
}

std::optional<std::string> bytesMember(const Json &json, const char *name)
{
    const auto found = json.is_object() ? json.find(name) : json.end();
    if (found == json.end())
        return std::string();
    return found->is_string() ? fromBase64(found->get_ref<const std::string &>()) : std::nullopt;
}

Error malformed(const char *what)
{
    return { {}, {}, std::string("malformed response: invalid ") + what };
}

Result<std::vector<KeyValue>> toKeyValues(const Json &json)
{
    std::vector<KeyValue> values;
    for (const Json &entry : arrayMember(json, "kvs")) {
        auto key = bytesMember(entry, "key");
        auto value = bytesMember(entry, "value");
        const Revision modified(numberMember(entry, "mod_revision"));
        if (!key || !value || modified <= Revision(0))
            return malformed("key, value or revision");
        values.push_back({ *std::move(key), *std::move(value), modified,
            LeaseId(numberMember(entry, "lease")) });
    }
    return values;
}

} // namespace

Json toJson(const RangeRequest &request)
{
    Json json;
    setKeys(json, request.key, request.scope, request.after);
    if (request.at != Revision(0))
        json["revision"] = toDecimal(request.at.value());
    if (request.limit != 0)
        json["limit"] = std::to_string(request.limit);
    return json;
}

Json toJson(const TransactionRequest &request)
{
    Json compares = Json::array();
    Json failure = Json::array();
    for (const Compare &compare : request.compares) {
        compares.push_back({ { "key", toBase64(compare.key) }, { "target", "MOD" },
            { "result", "EQUAL" }, { "mod_revision", toDecimal(compare.modified.value()) } });
        failure.push_back({ { "request_range", { { "key", toBase64(compare.key) } } } });
    }
    Json success = Json::array();
    for (const Put &put : request.puts) {
        Json json = { { "key", toBase64(put.key) }, { "value", toBase64(put.value) } };
        if (put.lease != LeaseId(0))
            json["lease"] = toDecimal(put.lease.value());
        success.push_back({ { "request_put", std::move(json) } });
    }
    for (const std::string &key : request.deletes)
        success.push_back({ { "request_delete_range", { { "key", toBase64(key) } } } });
    return { { "compare", compares }, { "success", success }, { "failure", failure } };
}

Json toJson(const LeaseGrantRequest &request)
{
    return { { "TTL", toDecimal(request.seconds) } };
}

Json toJson(const LeaseKeepAliveRequest &request)
{
    return { { "ID", toDecimal(request.id.value()) } };
}

Json toJson(const WatchRequest &request)
{
    Json create;
    setKeys(create, request.key, request.scope, {});
    if (request.from != Revision(0))
        create["start_revision"] = toDecimal(request.from.value());
    return { { "create_request", std::move(create) } };
}

const Json &objectMember(const Json &json, const char *name)
{
    const auto found = json.is_object() ? json.find(name) : json.end();
    return found != json.end() && found->is_object() ? *found : emptyObject();
}

std::int64_t numberMember(const Json &json, const char *name)
{
    const auto found = json.is_object() ? json.find(name) : json.end();
    if (found == json.end())
        return 0;
    if (found->is_number_integer())
        return found->get<std::int64_t>();
    if (!found->is_string())
        return 0;
    const auto &text = found->get_ref<const std::string &>();
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

Revision revisionOf(const Json &response)
{
    return Revision(numberMember(objectMember(response, "header"), "revision"));
}

Result<RangeResponse> toRangeResponse(const Json &response)
{
    auto values = toKeyValues(response);
    if (!values)
        return values.lastReason();
    const Revision revision = revisionOf(response);
    if (revision <= Revision(0))
        return malformed("header");
    return RangeResponse { revision, *std::move(values), response.value("more", Json()) == true };
}

Result<std::vector<KeyValue>> toConflictValues(const Json &response)
{
    std::vector<KeyValue> all;
    for (const Json &operationResponse : arrayMember(response, "responses")) {
        auto values = toKeyValues(objectMember(operationResponse, "response_range"));
        if (!values)
            return values.lastReason();
        std::ranges::move(*values, std::back_inserter(all));
    }
    return all;
}

Result<std::vector<Change>> toChanges(const Json &response)
{
    std::vector<Change> changes;
    for (const Json &event : arrayMember(response, "events")) {
        const Json &entry = objectMember(event, "kv");
        auto key = bytesMember(entry, "key");
        auto value = bytesMember(entry, "value");
        const Revision modified(numberMember(entry, "mod_revision"));
        if (!key || !value || modified <= Revision(0))
            return malformed("event");
        if (event.value("type", Json()) == "DELETE")
            value.reset();
        changes.push_back({ *std::move(key), std::move(value), modified });
    }
    return changes;
}

} // namespace endivequay::detail
