#include "endivequay/operations.h"

#include "endivequay/digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <numeric>

namespace endivequay {

namespace {

constexpr std::size_t maxIdBytes = 1'024;
constexpr std::size_t macHexDigits = 32;
// Overhead of a map or hash map node: links, hash and allocator header.
constexpr std::size_t nodeBytes = 48;

std::string toHex(std::string_view bytes)
{
    std::string text;
    for (unsigned char byte : bytes)
        text += fmt::format("{:02x}", byte);
    return text;
}

template <class T>
bool readHex(std::string_view text, T &number)
{
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number, 16);
    return !text.empty() && rest == end && error == std::errc {};
}

bool decodeHex(std::string_view text, std::string &bytes)
{
    if (text.size() % 2 != 0)
        return false;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        unsigned char byte = 0;
        if (!readHex(text.substr(i, 2), byte))
            return false;
        bytes += static_cast<char>(byte);
    }
    return true;
}

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    for (std::size_t end = 0; (end = text.find('.')) != text.npos; text.remove_prefix(end + 1))
        parts.push_back(text.substr(0, end));
    parts.push_back(text);
    return parts;
}

std::array<std::uint64_t, 2> fingerprint(std::string_view requestDigest)
{
    return { hash64(requestDigest), hash64(requestDigest, 1) };
}

} // namespace

std::string_view toString(Outcome outcome)
{
    static constexpr std::string_view names[] = { "done", "not-run", "unknown" };
    return names[static_cast<std::size_t>(outcome)];
}

std::string_view toString(OperationRefusal reason)
{
    static constexpr std::string_view names[] = { "operation_malformed", "operation_forged",
        "operation_other_team", "operation_expired", "operation_issuer_gone", "operation_mismatch",
        "operation_memory_full", "operation_too_many_copies" };
    return names[static_cast<std::size_t>(reason)];
}

std::size_t OperationResponse::bytes() const
{
    return std::accumulate(headers.begin(), headers.end(), sizeof *this + body.size(),
        [](std::size_t sum, const auto &header) {
            return sum + sizeof header + header.first.size() + header.second.size();
        });
}

Result<OperationId> OperationId::parse(std::string_view text)
{
    const Error malformed { "operation.parse", "", "not an operation id" };
    if (text.size() > maxIdBytes)
        return malformed;
    const auto parts = split(text);
    std::uint64_t issuer = 0;
    std::int64_t deadline = 0;
    std::string address;
    std::string team;
    OperationId id;
    const bool valid = parts.size() == 7 && parts[0] == "1" && readHex(parts[1], issuer)
        && readHex(parts[2], id.sequence) && readHex(parts[3], deadline)
        && decodeHex(parts[4], address) && decodeHex(parts[5], team)
        && parts[6].size() == macHexDigits;
    if (!valid)
        return malformed;
    id.issuer = Incarnation(issuer);
    id.address = Address(address);
    id.team = TeamId(team);
    id.deadline = Instant(Interval(deadline));
    return id;
}

OperationTable::OperationTable(
    Incarnation self, Address address, std::string secret, OperationSettings settings)
    : self_(self)
    , address_(std::move(address))
    , secret_(std::move(secret))
    , settings_(settings)
{ }

Result<IssuedOperation> OperationTable::issue(const TeamId &team, Instant now)
{
    expire(now);
    const std::uint32_t index = teamIndex(team);
    if (records() >= settings_.maxRecords)
        return Error { "operation.issue", team.value(), "the limit of operations is reached" };
    if (recordsOfTeam_[index] >= settings_.maxRecordsPerTeam)
        return Error { "operation.issue", team.value(),
            "the limit of operations of the team is reached" };
    // Deadlines must not decrease with the sequence, as records expire from the front.
    lastDeadline_ = std::max(lastDeadline_, now + settings_.lifetime);
    const std::uint64_t sequence = firstSequence_ + records_.size();
    records_.push_back({ lastDeadline_, {}, nullptr, index, State::Issued });
    ++recordsOfTeam_[index];
    return IssuedOperation { withMac(fmt::format("1.{:x}.{:x}.{:x}.{}.{}", self_.value(), sequence,
                                 lastDeadline_.time_since_epoch().count(), toHex(address_.value()),
                                 toHex(team.value()))),
        lastDeadline_ };
}

BeginDecision OperationTable::begin(
    std::string_view text, const TeamId &team, std::string_view requestDigest, Instant now)
{
    expire(now);
    const auto id = OperationId::parse(text);
    if (!id)
        return RefuseOperation { Outcome::NotRun, OperationRefusal::Malformed };
    if (id.value()->issuer != self_) {
        if (id.value()->address == address_)
            return RefuseOperation { Outcome::Unknown, OperationRefusal::IssuerGone };
        return ForwardToIssuer { id.value()->issuer, id.value()->address };
    }
    const std::string_view signedPart = text.substr(0, text.rfind('.'));
    if (!equalConstantTime(withMac(std::string(signedPart)), text))
        return RefuseOperation { Outcome::NotRun, OperationRefusal::Forged };
    if (id.value()->team != team)
        return RefuseOperation { Outcome::NotRun, OperationRefusal::OtherTeam };
    Record *record = find(id.value()->sequence);
    if (record == nullptr || now >= record->deadline)
        return RefuseOperation { Outcome::Unknown, OperationRefusal::Expired };
    return beginRecorded(*id, *record, requestDigest);
}

BeginDecision OperationTable::beginRecorded(
    const OperationId &id, Record &record, std::string_view digest)
{
    const auto requestDigest = fingerprint(digest);
    if (record.state != State::Issued && record.requestDigest != requestDigest)
        return RefuseOperation { Outcome::NotRun, OperationRefusal::Mismatch };
    record.requestDigest = requestDigest;
    switch (record.state) {
    case State::Issued:
        if (!hasRoomForResponse()) {
            record.state = State::NotRun;
            return RefuseOperation { Outcome::NotRun, OperationRefusal::MemoryFull };
        }
        record.state = State::Running;
        ++running_;
        return RunOperation { { id.sequence }, record.deadline };
    case State::Running:
        return addWaiter(id.sequence);
    case State::Done:
        return Replay { Outcome::Done, record.response };
    case State::NotRun:
        return Replay { Outcome::NotRun, record.response };
    case State::Unknown:
        break;
    }
    return Replay { Outcome::Unknown, record.response };
}

BeginDecision OperationTable::addWaiter(std::uint64_t sequence)
{
    auto &tickets = waiters_[sequence];
    if (tickets.size() >= settings_.maxWaiters)
        return RefuseOperation { Outcome::Unknown, OperationRefusal::TooManyCopies };
    const WaitTicket ticket { ++lastTicket_ };
    tickets.push_back(ticket);
    waiterOf_.emplace(ticket, sequence);
    return WaitForRunningCopy { ticket };
}

Result<FinishedOperation> OperationTable::finish(
    OperationHandle handle, Outcome outcome, OperationResponse response, Instant now)
{
    expire(now);
    Record *record = find(handle.sequence);
    if (record == nullptr || record->state != State::Running)
        return Error { "operation.finish", "", "the operation is not running" };
    FinishedOperation finished { outcome,
        std::make_shared<const OperationResponse>(std::move(response)), {}, false };
    static constexpr State ends[] = { State::Done, State::NotRun, State::Unknown };
    record->state = ends[static_cast<std::size_t>(outcome)];
    --running_;
    if (const auto tickets = waiters_.extract(handle.sequence)) {
        finished.waiters = tickets.mapped();
        std::ranges::for_each(finished.waiters, [&](WaitTicket t) { waiterOf_.erase(t); });
    }
    const std::size_t bytes = finished.response->bytes();
    finished.kept = now < record->deadline && bytes <= settings_.maxResponseBytes;
    if (finished.kept) {
        record->response = finished.response;
        keptBytes_ += bytes;
    }
    if (runningPastDeadline_.contains(handle.sequence)) {
        --recordsOfTeam_[record->team];
        runningPastDeadline_.erase(handle.sequence);
    }
    return finished;
}

void OperationTable::cancelWait(WaitTicket ticket)
{
    const auto found = waiterOf_.extract(ticket);
    if (found)
        std::erase(waiters_[found.mapped()], ticket);
}

void OperationTable::expire(Instant now)
{
    while (!records_.empty() && records_.front().deadline <= now) {
        Record &record = records_.front();
        if (record.state == State::Running) {
            runningPastDeadline_.emplace(firstSequence_, std::move(record));
        } else {
            dropResponse(record);
            --recordsOfTeam_[record.team];
        }
        records_.pop_front();
        ++firstSequence_;
    }
}

std::size_t OperationTable::memoryBytes() const
{
    return records_.size() * sizeof(Record)
        + runningPastDeadline_.size() * (sizeof(Record) + nodeBytes)
        + waiterOf_.size() * 3 * nodeBytes + keptBytes_;
}

OperationTable::Record *OperationTable::find(std::uint64_t sequence)
{
    if (sequence >= firstSequence_ && sequence - firstSequence_ < records_.size())
        return &records_[sequence - firstSequence_];
    const auto found = runningPastDeadline_.find(sequence);
    return found == runningPastDeadline_.end() ? nullptr : &found->second;
}

std::uint32_t OperationTable::teamIndex(const TeamId &team)
{
    const auto [found, added]
        = teamIndexes_.try_emplace(team, static_cast<std::uint32_t>(recordsOfTeam_.size()));
    if (added)
        recordsOfTeam_.push_back(0);
    return found->second;
}

std::string OperationTable::withMac(const std::string &text) const
{
    return text + '.' + hmacSha256Hex(secret_, text).substr(0, macHexDigits);
}

bool OperationTable::hasRoomForResponse() const
{
    return keptBytes_ + (running_ + 1) * settings_.maxResponseBytes <= settings_.maxKeptBytes;
}

void OperationTable::dropResponse(Record &record)
{
    if (record.response)
        keptBytes_ -= record.response->bytes();
    record.response.reset();
}

} // namespace endivequay
