#include "endivequay/replica.h"

#include "cbor.h"
#include "endivequay/compression.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace endivequay {

namespace {

using Json = nlohmann::json;

/// Maximum decompressed size of an update from a peer; a value in the store has at most 1 MB.
constexpr std::size_t maxUpdateBytes = std::size_t { 64 } * 1024 * 1024;

Json toBinary(const std::string &text)
{
    return Json::binary({ text.begin(), text.end() });
}

std::string fromBinary(const Json &json)
{
    const auto &bytes = json.get_binary();
    return { bytes.begin(), bytes.end() };
}

} // namespace

bool Replica::applyItem(const ReplicaItem &item)
{
    const auto [found, inserted] = items_.try_emplace(item.key, item);
    if (!inserted) {
        if (found->second.revision >= item.revision)
            return false;
        tombstoneCount_ -= found->second.value ? 0 : 1;
        found->second = item;
    }
    tombstoneCount_ += item.value ? 0 : 1;
    return true;
}

void Replica::removeMissing(const ReplicaUpdate &update, bool &changed)
{
    std::set<std::string_view> present;
    std::ranges::for_each(update.items, [&](const auto &item) { present.insert(item.key); });
    for (auto &[key, item] : items_) {
        if (!item.value || item.revision > update.asOf.revision || present.contains(key))
            continue;
        item.value.reset();
        item.revision = update.asOf.revision;
        ++tombstoneCount_;
        changed = true;
    }
}

void Replica::dropTombstones()
{
    if (tombstoneCount_ <= maxTombstones)
        return;
    std::erase_if(items_, [](const auto &entry) { return !entry.second.value; });
    tombstoneCount_ = 0;
    droppedUpTo_ = asOf_.revision;
}

void Replica::epochSeen(StoreEpoch epoch, Instant adoptAt)
{
    if (epoch <= latestEpoch_)
        return;
    latestEpoch_ = epoch;
    adoptAt_ = adoptAt;
}

void Replica::beginEpoch(StoreEpoch epoch)
{
    items_.clear();
    tombstoneCount_ = 0;
    droppedUpTo_ = {};
    asOf_ = StorePosition({}, epoch);
    latestEpoch_ = std::max(latestEpoch_, epoch);
}

bool Replica::apply(const ReplicaUpdate &update)
{
    const bool isLater = update.asOf.epoch > asOf_.epoch;
    if (update.asOf.epoch < asOf_.epoch || (!update.isSnapshot && (isLater || !loaded())))
        return false;
    if (isLater)
        beginEpoch(update.asOf.epoch);
    bool changed = isLater;
    for (const ReplicaItem &item : update.items) {
        // The tombstone of this key may have been dropped; an older value must not reappear.
        const bool mayBeRemoved = item.revision <= droppedUpTo_ && !items_.contains(item.key);
        if (!mayBeRemoved || (update.isSnapshot && update.asOf >= asOf_))
            changed = applyItem(item) || changed;
    }
    if (update.isSnapshot && update.asOf >= asOf_) {
        removeMissing(update, changed);
        // A snapshot does not tell which keys were removed before it, so that peers that are behind
        // it need a snapshot as well.
        droppedUpTo_ = std::max(droppedUpTo_, update.asOf.revision);
    }
    if (update.asOf >= asOf_) {
        asOf_ = update.asOf;
        confirmedAt_ = std::max(confirmedAt_, update.confirmedAt);
    }
    dropTombstones();
    return changed;
}

ReplicaUpdate Replica::updates(StorePosition since) const
{
    const bool isSnapshot = since.epoch != asOf_.epoch || since.revision < droppedUpTo_
        || since.revision == Revision(0);
    ReplicaUpdate update { {}, asOf_, isSnapshot, confirmedAt_ };
    for (const auto &[key, item] : items_) {
        const bool included
            = update.isSnapshot ? item.value.has_value() : item.revision > since.revision;
        if (included)
            update.items.push_back(item);
    }
    return update;
}

std::string encodeUpdate(const ReplicaUpdate &update, Instant now)
{
    Json items = Json::array();
    for (const ReplicaItem &item : update.items)
        items.push_back({ item.key, item.revision.value(),
            item.value ? toBinary(*item.value) : Json(nullptr) });
    const Json message { { "as_of", update.asOf.revision.value() },
        { "epoch", update.asOf.epoch.value() }, { "whole", update.isSnapshot },
        { "age", toSeconds(now - update.confirmedAt) }, { "items", std::move(items) } };
    const auto bytes = Json::to_cbor(message);
    return compressed({ reinterpret_cast<const char *>(bytes.data()), bytes.size() });
}

Result<ReplicaUpdate> decodeUpdate(std::string_view bytes, Instant askedAt)
{
    const auto content = decompressed(bytes, maxUpdateBytes);
    if (!content)
        return content.lastReason();
    try {
        const Json message = detail::parseCbor(*content);
        ReplicaUpdate update;
        // Instances of earlier versions send no epoch.
        update.asOf = StorePosition(Revision(message.at("as_of").get<std::int64_t>()),
            StoreEpoch(message.value("epoch", std::int64_t { 0 })));
        update.isSnapshot = message.at("whole").get<bool>();
        const double age = std::max(0.0, message.at("age").get<double>());
        update.confirmedAt = askedAt - fromSeconds(std::min(age, 86400.0));
        for (const Json &item : message.at("items")) {
            ReplicaItem decoded { item.at(0).get<std::string>(), {},
                Revision(item.at(1).get<std::int64_t>()) };
            if (!item.at(2).is_null())
                decoded.value = fromBinary(item.at(2));
            update.items.push_back(std::move(decoded));
        }
        return update;
    } catch (const Json::exception &error) {
        return Error { "replica.decode", {}, error.what() };
    }
}

} // namespace endivequay
