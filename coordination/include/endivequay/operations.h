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

/// What is known about the execution of a request; value of the header Endivequay-Outcome.
enum class Outcome : std::uint8_t { Done, NotRun, Unknown };

/// "done", "not-run" or "unknown".
std::string_view toString(Outcome outcome);

/// Why OperationTable::begin() refused a request.
enum class OperationRefusal : std::uint8_t {
    Malformed, ///< Not an operation id.
    Forged, ///< Names this incarnation, but was not issued by it.
    OtherTeam, ///< Issued to another team.
    Expired, ///< The deadline has passed.
    IssuerGone, ///< Issued at this address by an earlier incarnation.
    Mismatch, ///< The id was used with another request.
    MemoryFull, ///< No room for the response; the operation will never run.
    TooManyCopies ///< The limit of waiting copies is reached; the first one is still running.
};

/// Reason in a refusal, for example "operation_mismatch".
std::string_view toString(OperationRefusal reason);

/// Response that is replayed to later copies of a request.
struct OperationAnswer
{
    int status = 0; ///< HTTP status code.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Bytes that the answer occupies in memory.
    std::size_t bytes() const;
    bool operator==(const OperationAnswer &) const = default;
};

/// Contents of an operation id. The id itself is opaque to callers.
struct OperationId
{
    Incarnation issuer;
    Address address; ///< Of the issuing instance.
    TeamId team;
    std::uint64_t sequence = 0;
    Instant deadline; ///< On the clock of the issuer; meaningless elsewhere.

    /// Reads an id of any issuer without verifying it.
    static Result<OperationId> parse(std::string_view text);
};

/// An id for the caller and the deadline it carries.
struct IssuedOperation
{
    std::string id;
    Instant deadline;
};

/// Right to run an operation, granted once. Passed to OperationTable::finish().
struct OperationHandle
{
    std::uint64_t sequence = 0;
};

/// Place of a waiting copy. Returned again by finish() of the copy that runs.
struct WaitTicket
{
    std::uint64_t number = 0;

    auto operator<=>(const WaitTicket &) const = default;
};

/// The operation starts now; the receiver must call finish() in every case.
struct RunNow
{
    OperationHandle handle;
    Instant deadline;
};

/// Another copy is running; finish() of that copy returns the ticket.
struct WaitForCopy
{
    WaitTicket ticket;
};

/// The operation has ended. \a answer is null if it was too large to keep: the outcome still holds,
/// and the caller is told that the response is not available any more.
struct Replay
{
    Outcome outcome = Outcome::Unknown;
    std::shared_ptr<const OperationAnswer> answer;
};

/// The id belongs to another instance, which alone may run it. Both values come unverified from the
/// caller: pass on only to a member that is known by them.
struct PassToIssuer
{
    Incarnation issuer;
    Address address;
};

/// The request is not run here and now. \a outcome is what may be told to the caller.
struct RefuseOperation
{
    Outcome outcome = Outcome::Unknown;
    OperationRefusal reason = OperationRefusal::Malformed;
};

using BeginDecision = std::variant<RunNow, WaitForCopy, Replay, PassToIssuer, RefuseOperation>;

/// Who gets the answer of a finished operation besides the copy that ran it.
struct FinishedOperation
{
    Outcome outcome = Outcome::Unknown;
    std::shared_ptr<const OperationAnswer> answer; ///< Complete, also if it is not kept.
    std::vector<WaitTicket> waiters; ///< Copies to be answered with the same response.
    bool kept = false; ///< Later copies get the response too.
};

struct OperationSettings
{
    Interval lifetime = std::chrono::seconds(60);
    std::size_t maxRecords = 200'000;
    /// A team that issues without end must not use up the records of the others.
    std::size_t maxRecordsPerTeam = 50'000;
    std::size_t maxKeptBytes = 48 << 20;
    /// Largest response that is kept. Each running operation reserves this much of maxKeptBytes.
    std::size_t maxAnswerBytes = 64 << 10;
    std::size_t maxWaiters = 16; ///< Per operation.
};

/// Operations issued by one incarnation. Each runs at most once.
///
/// A record exists from issue() until the deadline, so a valid id without a record cannot occur
/// before the deadline, and after it nothing starts. The table is not thread safe.
class OperationTable
{
public:
    /// \a secret authenticates the ids and must be drawn anew for each incarnation.
    OperationTable(
        Incarnation self, Address address, std::string secret, OperationSettings settings = {});

    /// A new id for \a team; an error if the bound on records is reached.
    Result<IssuedOperation> issue(const TeamId &team, Instant now);

    /// Decides about a copy of a request. \a requestDigest covers method, target and body.
    BeginDecision begin(
        std::string_view id, const TeamId &team, std::string_view requestDigest, Instant now);

    /// Ends an operation. The first call for a handle is final; a further one is an error.
    ///
    /// Outcome::NotRun is for a request that was refused before it reached the upstream, or that
    /// the upstream refused as not run.
    Result<FinishedOperation> finish(
        OperationHandle handle, Outcome outcome, OperationAnswer answer, Instant now);

    /// Forgets a waiting copy whose caller has gone.
    void cancelWait(WaitTicket ticket);

    /// Drops the records whose deadline has passed. Called by issue() and begin() too.
    void expire(Instant now);

    std::size_t records() const { return records_.size() + overdue_.size(); }
    std::size_t running() const { return running_; }
    std::size_t keptBytes() const { return keptBytes_; }
    /// Estimated bytes of the records and the kept responses.
    std::size_t memoryBytes() const;
    /// Bytes of a record without its response.
    static constexpr std::size_t recordBytes() { return sizeof(Record); }

private:
    enum class State : std::uint8_t { Issued, Running, Done, NotRun, Unknown };

    struct Record
    {
        Instant deadline;
        std::array<std::uint64_t, 2> requestDigest {};
        std::shared_ptr<const OperationAnswer> answer;
        std::uint32_t team = 0;
        State state = State::Issued;
    };

    Record *find(std::uint64_t sequence);
    std::uint32_t teamIndex(const TeamId &team);
    std::string authenticated(const std::string &text) const;
    BeginDecision beginRecorded(const OperationId &id, Record &record, std::string_view digest);
    BeginDecision wait(std::uint64_t sequence);
    bool roomForAnswer() const;
    void dropKept(Record &record);

    const Incarnation self_;
    const Address address_;
    const std::string secret_;
    const OperationSettings settings_;
    /// Records by sequence, starting with firstSequence_. The lifetime is the same for all, so
    /// their deadlines ascend.
    std::deque<Record> records_;
    std::uint64_t firstSequence_ = 1;
    /// Operations that still run after their deadline.
    std::unordered_map<std::uint64_t, Record> overdue_;
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
