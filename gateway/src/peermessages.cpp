#include "endivequay/peermessages.h"

#include "cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

using Json = nlohmann::json;

Json memberToJson(const MemberRecord &record)
{
    return { { "id", record.id.value() }, { "domain", record.domain.value() },
        { "region", record.region.value() }, { "callers", record.callers.value() },
        { "control", record.control.value() }, { "heartbeats", record.heartbeats.value() },
        { "incarnation", record.incarnation }, { "link_mbps", record.linkMbps },
        { "cores", record.cores } };
}

MemberRecord memberFromJson(const Json &json)
{
    const auto text = [&](const char *name) { return json.at(name).get<std::string>(); };
    return { InstanceId(text("id")), FailureDomainId(text("domain")), RegionId(text("region")),
        Address(text("callers")), Address(text("control")), Address(text("heartbeats")),
        json.at("incarnation").get<std::uint64_t>(), json.value("link_mbps", 0.0),
        json.value("cores", 0.0) };
}

/// Intervals in messages are clamped to one day, in milliseconds.
constexpr std::int64_t maxIntervalMs = 86'400'000;

std::int64_t toMillis(Interval interval)
{
    const auto intervalMs = std::chrono::duration_cast<std::chrono::milliseconds>(interval).count();
    return std::clamp<std::int64_t>(intervalMs, 0, maxIntervalMs);
}

Interval intervalFromJson(const Json &json)
{
    return std::chrono::milliseconds(
        std::clamp<std::int64_t>(json.get<std::int64_t>(), 0, maxIntervalMs));
}

/// Element \a index of a message; false in messages of versions that do not send it.
bool optionalFlag(const Json &message, std::size_t index)
{
    return index < message.size() && message[index].get<bool>();
}

/// Index of the epoch in a heartbeat and in the entry of an instance in a digest.
constexpr std::size_t epochIndex = 8;

/// Position in a message that has the revision at \a revisionIndex. Versions without epochs send
/// none.
StorePosition positionFrom(const Json &message, std::size_t revisionIndex)
{
    const std::int64_t epoch
        = epochIndex < message.size() ? message[epochIndex].get<std::int64_t>() : 0;
    return StorePosition(
        Revision(message.at(revisionIndex).get<std::int64_t>()), StoreEpoch(epoch));
}

std::string toCbor(const Json &message)
{
    const auto bytes = Json::to_cbor(message);
    return { bytes.begin(), bytes.end() };
}

/// Rates are encoded in tenths of requests per second: CBOR encodes small integers in one to three
/// bytes.
constexpr double rateScale = 10;
/// Token counts in received messages are clamped to this.
constexpr int maxTokensPerMessage = 1000;
/// Rates in received messages are clamped to this, in requests per second.
constexpr double maxRate = 1e6;

Json ratesToJson(const DemandReport &rates)
{
    Json json = Json::array();
    for (const auto &[key, rate] : rates) {
        json.push_back(key.value());
        json.push_back(std::llround(rate * rateScale));
    }
    return json;
}

DemandReport ratesFromJson(const Json &json)
{
    DemandReport rates;
    for (std::size_t i = 0; i + 1 < json.size(); i += 2)
        rates[DemandKey(json[i].get<std::uint32_t>())]
            = std::clamp(json[i + 1].get<double>() / rateScale, 0.0, maxRate);
    return rates;
}

} // namespace

std::string encodeMember(const MemberRecord &record)
{
    return memberToJson(record).dump();
}

Result<MemberRecord> decodeMember(std::string_view text)
{
    try {
        return memberFromJson(Json::parse(text));
    } catch (const Json::exception &error) {
        return Error { "member.decode", {}, error.what() };
    }
}

std::string encodeHeartbeat(const PeerHeartbeat &heartbeat)
{
    return toCbor(Json::array({ heartbeat.id.value(), heartbeat.incarnation, heartbeat.leaving,
        heartbeat.stateAsOf.revision.value(), toMillis(heartbeat.stateAge),
        heartbeat.demand ? ratesToJson(*heartbeat.demand) : Json(nullptr),
        heartbeat.member ? memberToJson(*heartbeat.member) : Json(nullptr), heartbeat.overloaded,
        heartbeat.stateAsOf.epoch.value() }));
}

namespace {

PeerHeartbeat heartbeatFromJson(const Json &message)
{
    PeerHeartbeat heartbeat;
    heartbeat.id = InstanceId(message.at(0).get<std::string>());
    heartbeat.incarnation = message.at(1).get<std::uint64_t>();
    heartbeat.leaving = message.at(2).get<bool>();
    heartbeat.stateAsOf = positionFrom(message, 3);
    heartbeat.stateAge = intervalFromJson(message.at(4));
    if (!message.at(5).is_null())
        heartbeat.demand = ratesFromJson(message.at(5));
    if (!message.at(6).is_null())
        heartbeat.member = memberFromJson(message.at(6));
    heartbeat.overloaded = optionalFlag(message, 7);
    return heartbeat;
}

DomainDigest digestFromJson(const Json &message)
{
    DomainDigest digest;
    digest.relay = InstanceId(message.at(0).at(0).get<std::string>());
    digest.domain = FailureDomainId(message.at(0).at(1).get<std::string>());
    digest.forwarded = message.at(0).at(2).get<bool>();
    for (const Json &item : message.at(1)) {
        MemberState state { InstanceId(item.at(0).get<std::string>()),
            item.at(1).get<std::uint64_t>(), intervalFromJson(item.at(2)), item.at(3).get<bool>(),
            positionFrom(item, 4), intervalFromJson(item.at(5)), {} };
        if (!item.at(6).is_null())
            state.member = memberFromJson(item.at(6));
        state.overloaded = optionalFlag(item, 7);
        digest.members.push_back(std::move(state));
    }
    digest.demand = ratesFromJson(message.at(2));
    return digest;
}

PeerMessage messageFromJson(const Json &message)
{
    // The type of the first element identifies the message: a boolean in token messages, an array
    // in digests, a string in heartbeats.
    if (message.at(0).is_array())
        return digestFromJson(message);
    if (!message.at(0).is_boolean())
        return heartbeatFromJson(message);
    return TokenMessage { message.at(0).get<bool>(), InstanceId(message.at(1).get<std::string>()),
        DemandKey(message.at(2).get<std::uint32_t>()),
        std::clamp(message.at(3).get<int>(), 0, maxTokensPerMessage) };
}

} // namespace

Result<PeerHeartbeat> decodeHeartbeat(std::string_view bytes)
{
    try {
        return heartbeatFromJson(detail::parseCbor(bytes));
    } catch (const Json::exception &error) {
        return Error { "heartbeat.decode", {}, error.what() };
    }
}

std::string encodeTokenMessage(const TokenMessage &message)
{
    return toCbor(Json::array(
        { message.isReply, message.from.value(), message.team.value(), message.count }));
}

std::string encodeDigest(const DomainDigest &digest)
{
    Json members = Json::array();
    for (const MemberState &state : digest.members)
        members.push_back({ state.id.value(), state.incarnation, toMillis(state.age), state.leaving,
            state.stateAsOf.revision.value(), toMillis(state.stateAge),
            state.member ? memberToJson(*state.member) : Json(nullptr), state.overloaded,
            state.stateAsOf.epoch.value() });
    return toCbor(Json::array(
        { Json::array({ digest.relay.value(), digest.domain.value(), digest.forwarded }),
            std::move(members), ratesToJson(digest.demand) }));
}

Result<DomainDigest> decodeDigest(std::string_view bytes)
{
    try {
        return digestFromJson(detail::parseCbor(bytes));
    } catch (const Json::exception &error) {
        return Error { "digest.decode", {}, error.what() };
    }
}

Result<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    try {
        return messageFromJson(detail::parseCbor(bytes));
    } catch (const Json::exception &error) {
        return Error { "peer.decode", {}, error.what() };
    }
}

} // namespace endivequay
