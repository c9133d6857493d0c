#ifndef ENDIVEQUAY_EVENTS_H
#define ENDIVEQUAY_EVENTS_H

#include <array>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivequay {

/// Time of a hybrid logical clock (Kulkarni et al., 2014): wall time, then a counter for ties.
///
/// If event a can have influenced event b, a's time is lower.
struct HybridTime
{
    std::int64_t wallMicros = 0; ///< Microseconds since the Unix epoch.
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime &) const = default;
};

/// Hybrid logical clock of one process. Thread safe.
class HybridClock
{
public:
    /// Time of a local event or of a message to be sent.
    HybridTime tick(std::int64_t wallMicros);
    /// Time of the receipt of a message that carried \a remote.
    HybridTime receive(HybridTime remote, std::int64_t wallMicros);

private:
    std::mutex mutex_;
    HybridTime last_;
};

/// Numbers of all log events. docs/events.md is the catalogue; a number is never reused.
enum class EventId : std::uint16_t {
    ProcessStarted = 100,
    ProcessStopping = 101,
    ProcessStopped = 102,
    SettingsRejected = 103,
    PauseDetected = 104,
    SettingsReloaded = 105,
    EntriesSuppressed = 106,
    ConfigApplied = 200,
    ConfigRejected = 201,
    ConfigConfirmed = 202,
    ConfigStale = 203,
    ConfigSourceChanged = 204,
    ConfigChangeAccepted = 205,
    ConfigChangeConflict = 206,
    StoreSilent = 210,
    StoreAnswered = 211,
    StateFromPeer = 212,
    EntryRejected = 213,
    Registered = 214,
    RegistrationLost = 215,
    StateNotHandedOver = 216,
    PeerJoined = 300,
    PeerSuspected = 301,
    PeerRecovered = 302,
    PeerLeft = 303,
    PeerRejected = 304,
    PeerConnectionReplaced = 305,
    PeerMessageRejected = 306,
    CellsReleased = 320,
    CellsOwned = 321,
    CellsReclaimed = 322,
    LedgerConflict = 323,
    LoanGranted = 330,
    LoanReceived = 331,
    OperationIssued = 400,
    OperationStarted = 401,
    OperationDone = 402,
    OperationNotRun = 403,
    OperationUnknown = 404,
    RequestAdmitted = 420,
    RequestRefused = 421,
    RequestPassedOn = 422,
    RequestAnswered = 423,
    RequestSent = 424,
    AttemptEnded = 425,
    CallerLeft = 426,
    RequestWaits = 427,
    UpstreamEjected = 440,
    UpstreamRestored = 441,
    UpstreamDraining = 442,
    UpstreamDrained = 443,
    UpstreamsChanged = 444,
    EvacuationChanged = 445,
    ShiftStepApplied = 450,
};

/// Name of an event as in the catalogue, for example "ConfigApplied".
std::string_view eventName(EventId id);

/// Every event number with its name, ascending.
std::vector<std::pair<EventId, std::string_view>> allEvents();

/// Named values of an event: request, team, upstream, change, peer and so on.
using EventFields = std::map<std::string, std::string>;

/// One entry of the time line.
struct Event
{
    HybridTime time;
    EventId id {};
    std::string process; ///< Name of the process that recorded it.
    EventFields fields;
};

/// Bounded ring of the latest events of one process; writes each event to standard error too.
/// Thread safe.
class Timeline
{
public:
    enum class Log {
        Standard,
        WithoutRequests, ///< Events 400 to 429, one or more a request, go to the ring only.
        Off
    };

    /// \a capacity is the number of events kept; older ones are dropped.
    Timeline(std::string process, std::size_t capacity, Log log = Log::Standard);

    void record(EventId id, EventFields fields = {});
    /// Advances the clock past the time of a message from another process.
    void receive(HybridTime remote);
    /// Time to put on a message to be sent.
    HybridTime sendTime();
    /// Copy of the ring, oldest first.
    std::vector<Event> events() const;

private:
    const std::string process_;
    const std::size_t capacity_;
    const Log log_;
    HybridClock clock_;
    mutable std::mutex mutex_;
    std::deque<Event> ring_;
};

/// One log line: time, number, name, process and fields.
std::string formatEvent(const Event &event);

} // namespace endivequay

#endif
