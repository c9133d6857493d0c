#ifndef ENDIVEQUAY_OPERATIONS_H
#define ENDIVEQUAY_OPERATIONS_H

#include "endivequay/clock.h"
#include "endivequay/result.h"
#include "endivequay/types.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace endivequay {

/// Known result of the execution of a request; value of the header Endivequay-Outcome.
enum class Outcome : std::uint8_t { Done, NotRun, Unknown };

/// "done", "not-run" or "unknown".
std::string_view toString(Outcome outcome);

/// Why OperationTable::begin() refused a request.
enum class OperationRefusal : std::uint8_t {
    Malformed, ///< Not an operation id.
    Forged, ///< Names this incarnation as issuer, but the MAC does not match.
    OtherTeam, ///< Issued to another team.
    Expired, ///< The deadline has passed.
    IssuerGone, ///< Issued at this address by an earlier incarnation.
    Mismatch, ///< The id was already used with a different request.
    MemoryFull, ///< No memory for the response; the operation will never run.
    TooManyCopies ///< maxWaiters copies wait already; the first copy is still running.
};

/// Reason code of a refusal, for example "operation_mismatch".
std::string_view toString(OperationRefusal reason);

/// Response that is replayed to later copies of a request.
struct OperationResponse
{
    int status = 0; ///< HTTP status code.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Memory that the response occupies.
    std::size_t bytes() const;
    bool operator==(const OperationResponse &) const = default;
};

/// Decoded operation id. Callers treat the id as opaque.
struct OperationId
{
    Incarnation issuer;
    Address address; ///< Address of the issuing instance.
    TeamId team;
    std::uint64_t sequence = 0;
    Instant deadline; ///< On the clock of the issuer; meaningless elsewhere.

    /// Parses an id of any issuer without verifying its MAC.
    static Result<OperationId> parse(std::string_view text);
};

/// A new operation id and its deadline.
struct IssuedOperation
{
    std::string id;
    Instant deadline;
};

/// Identifies a running operation in OperationTable::finish(). Granted once per operation.
struct OperationHandle
{
    std::uint64_t sequence = 0;
};

/// Identifies a waiting copy. finish() of the running copy returns it.
struct WaitTicket
{
    std::uint64_t number = 0;

    auto operator<=>(const WaitTicket &) const = default;
};

/// The caller must run the operation now and call finish() in every case.
struct RunOperation
{
    OperationHandle handle;
    Instant deadline;
};

/// Another copy is running; finish() of that copy returns the ticket.
struct WaitForRunningCopy
{
    WaitTicket ticket;
};

/// The operation has finished. \a response is null if it was not kept, for example because of its
/// size. The outcome is still valid, and it is reported to the caller that the response is no
/// longer available.
struct Replay
{
    Outcome outcome = Outcome::Unknown;
    std::shared_ptr<const OperationResponse> response;
};

/// The id was issued by another instance, and only that instance may run it. Both values come from
/// the caller and are not verified: forward only to a known member that matches them.
struct ForwardToIssuer
{
    Incarnation issuer;
    Address address;
};

/// The request is not run. \a outcome is the result to report to the caller.
struct RefuseOperation
{
    Outcome outcome = Outcome::Unknown;
    OperationRefusal reason = OperationRefusal::Malformed;
};

using BeginDecision
    = std::variant<RunOperation, WaitForRunningCopy, Replay, ForwardToIssuer, RefuseOperation>;

/// Response of a finished operation and the waiting copies that receive it.
struct FinishedOperation
{
    Outcome outcome = Outcome::Unknown;
    std::shared_ptr<const OperationResponse> response; ///< Always set, even if it is not kept.
    std::vector<WaitTicket> waiters; ///< Copies to be answered with the same response.
    bool kept = false; ///< Whether the response is stored for later copies.
};

struct OperationSettings
{
    Interval lifetime = std::chrono::seconds(60);
    std::size_t maxRecords = 200'000;
    /// Prevents one team from using up the records of the others.
    std::size_t maxRecordsPerTeam = 50'000;
    std::size_t maxKeptBytes = 48 << 20;
    /// Largest response that is kept. Each running operation reserves this much of maxKeptBytes.
    std::size_t maxResponseBytes = 64 << 10;
    std::size_t maxWaiters = 16; ///< Waiting copies per operation.
};

/// Operations issued by one incarnation. Each runs at most once.
///
/// A record exists from issue() until the deadline. A valid id therefore has a record until its
/// deadline, and no operation starts after it. Not thread safe.
class OperationTable
{
public:
    /// \a secret authenticates the ids and must be generated anew for each incarnation.
    OperationTable(
        Incarnation self, Address address, std::string secret, OperationSettings settings = {});

    /// Issues an id for \a team. Fails if maxRecords or maxRecordsPerTeam is reached.
    Result<IssuedOperation> issue(const TeamId &team, Instant now);

    /// Decides how to handle a copy of a request. \a requestDigest covers method, target and body.
    BeginDecision begin(
        std::string_view id, const TeamId &team, std::string_view requestDigest, Instant now);

    /// Finishes an operation. The first call for a handle is final; later ones fail.
    ///
    /// Outcome::NotRun is for a request that was refused before it reached the upstream, or that
    /// the upstream refused as not run.
    Result<FinishedOperation> finish(
        OperationHandle handle, Outcome outcome, OperationResponse response, Instant now);

    /// Removes a waiting copy whose caller has disconnected.
    void cancelWait(WaitTicket ticket);

    /// Removes records whose deadline has passed. Also called by issue(), begin() and finish().
    void expire(Instant now);

    std::size_t records() const { return records_.size() + runningPastDeadline_.size(); }
    std::size_t running() const { return running_; }
    std::size_t keptBytes() const { return keptBytes_; }
    /// Estimated size of the records and the kept responses.
    std::size_t memoryBytes() const;
    /// Size of a record without its response.
    static constexpr std::size_t recordBytes() { return sizeof(Record); }

private:
    enum class State : std::uint8_t { Issued, Running, Done, NotRun, Unknown };

    struct Record
    {
        Instant deadline;
        std::array<std::uint64_t, 2> requestDigest {};
        std::shared_ptr<const OperationResponse> response;
        std::uint32_t team = 0;
        State state = State::Issued;
    };

    Record *find(std::uint64_t sequence);
    std::uint32_t teamIndex(const TeamId &team);
    std::string withMac(const std::string &text) const;
    BeginDecision beginRecorded(const OperationId &id, Record &record, std::string_view digest);
    BeginDecision addWaiter(std::uint64_t sequence);
    bool hasRoomForResponse() const;
    void dropResponse(Record &record);

    const Incarnation self_;
    const Address address_;
    const std::string secret_;
    const OperationSettings settings_;
    /// Records by sequence, starting with firstSequence_. All have the same lifetime, so their
    /// deadlines ascend.
    std::deque<Record> records_;
    std::uint64_t firstSequence_ = 1;
    /// Operations that still run after their deadline.
    std::unordered_map<std::uint64_t, Record> runningPastDeadline_;
    std::unordered_map<std::uint64_t, std::vector<WaitTicket>> waiters_;
    std::map<WaitTicket, std::uint64_t> waiterOf_;
    std::unordered_map<TeamId, std::uint32_t> teamIndexes_;
    std::vector<std::size_t> recordsOfTeam_;
    std::size_t running_ = 0;
    std::size_t keptBytes_ = 0;
    std::uint64_t lastTicket_ = 0;
    Instant lastDeadline_;
};

} // namespace endivequay

#endif
