#include "endivequay/configstore.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace endivequay {

namespace {

using Json = nlohmann::json;

Error headError(const std::string &reason)
{
    return { "config.head", detail::configKey("head"), reason };
}

bool isValidDocumentName(const std::string &name)
{
    return !name.empty() && name != "head" && name.front() != '/'
        && std::ranges::all_of(name, [](unsigned char c) { return c > ' ' && c != 0x7f; });
}

std::string documentName(const std::string &key)
{
    return key.substr(detail::configPrefix.size());
}

} // namespace

Result<ConfigChange> ConfigChange::between(const ConfigSnapshot &base,
    const std::map<std::string, std::string> &wanted, ChangeId id, std::string by)
{
    ConfigChange change { std::move(id), std::move(by), base.head.revision, {}, wanted.size() };
    for (const auto &[name, text] : wanted) {
        const auto present = base.documents.find(name);
        if (present == base.documents.end() || present->second != text)
            change.edits[name] = text;
    }
    for (const auto &[name, text] : base.documents) {
        if (!wanted.contains(name))
            change.edits[name] = std::nullopt;
    }
    if (const Status checked = detail::checkChange(change); !checked)
        return checked.lastReason();
    return change;
}

namespace detail {

std::string configKey(std::string_view name)
{
    return std::string(configPrefix).append(name);
}

std::string ledgerKey(const FailureDomainId &domain)
{
    return std::string(ledgerPrefix) + domain.value();
}

std::string formatHead(const ConfigChange &change)
{
    const Json head = { { "change", change.id.value() }, { "by", change.by },
        { "documents", change.documents } };
    return head.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ConfigHead> parseHead(const std::string &text, Revision revision)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return headError("the head is not a JSON object");
    const Json change = json.value("change", Json());
    const Json by = json.value("by", Json());
    const Json documents = json.value("documents", Json());
    if (!change.is_string() || !by.is_string() || !documents.is_number_unsigned())
        return headError("\"change\", \"by\" or \"documents\" is missing or has the wrong type");
    return ConfigHead { ChangeId(change.get<std::string>()), by.get<std::string>(),
        documents.get<std::size_t>(), revision };
}

Status checkChange(const ConfigChange &change)
{
    const auto error = [&](const std::string &reason) {
        return Error { "config.submit", change.id.value(), reason };
    };
    if (change.id.value().empty())
        return error("the change has no id");
    if (change.edits.empty())
        return error("the change is empty");
    if (change.edits.size() > maxChangedDocuments)
        return error("the change edits " + std::to_string(change.edits.size())
            + " documents; the maximum is " + std::to_string(maxChangedDocuments));
    const auto invalid = std::ranges::find_if_not(
        change.edits, [](const auto &edit) { return isValidDocumentName(edit.first); });
    if (invalid != change.edits.end())
        return error("\"" + invalid->first + "\" is not a valid document name");
    return Done {};
}

TransactionRequest toTransaction(const ConfigChange &change, Instant deadline)
{
    const std::string head = configKey("head");
    TransactionRequest request;
    request.compares = { { head, change.base } };
    for (const auto &[name, text] : change.edits) {
        if (text)
            request.puts.push_back({ configKey(name), *text, {} });
        else
            request.deletes.push_back(configKey(name));
    }
    request.puts.push_back({ head, formatHead(change), {} });
    request.deadline = deadline;
    return request;
}

Result<ConfigSnapshot> toSnapshot(std::vector<KeyValue> values)
{
    ConfigSnapshot snapshot;
    for (auto &value : values) {
        const std::string name = documentName(value.key);
        if (name != "head") {
            snapshot.documents.emplace(name, std::move(value.value));
            continue;
        }
        const auto head = parseHead(value.value, value.modified);
        if (!head)
            return head.lastReason();
        snapshot.head = *head;
    }
    if (snapshot.head.documents != snapshot.documents.size())
        return headError("the head states " + std::to_string(snapshot.head.documents)
            + " documents, but the store has " + std::to_string(snapshot.documents.size()));
    return snapshot;
}

SubmitResult conflictWith(const ConfigHead &other)
{
    const std::string reason = other.revision == Revision(0)
        ? "the configuration is empty"
        : "change " + other.change.value() + " by " + other.by + " was accepted first";
    return { WriteOutcome::Conflict, other, { "config.submit", configKey("head"), reason } };
}

ConfigWatchMessage toConfigMessage(const WatchMessage &message)
{
    ConfigWatchMessage result { {}, message.ended, message.compacted };
    for (const Change &change : message.changes) {
        if (result.changes.empty() || result.changes.back().head.revision != change.modified) {
            result.changes.push_back({});
            result.changes.back().head.revision = change.modified;
        }
        AcceptedChange &accepted = result.changes.back();
        const std::string name = documentName(change.key);
        if (name != "head") {
            accepted.edits[name] = change.value;
            continue;
        }
        if (const auto head = parseHead(change.value.value_or(""), change.modified))
            accepted.head = *head;
    }
    // A write that did not update the head cannot be ordered among the changes.
    const auto withoutHead = std::ranges::find_if(result.changes,
        [](const AcceptedChange &accepted) { return accepted.head.change.value().empty(); });
    if (withoutHead != result.changes.end()) {
        result.ended = headError("revision " + std::to_string(withoutHead->head.revision.value())
            + " changed documents without writing a valid head");
        result.changes.erase(withoutHead, result.changes.end());
    }
    return result;
}

} // namespace detail

} // namespace endivequay
