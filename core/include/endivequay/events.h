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

/// Timestamp of a hybrid logical clock (Kulkarni et al., 2014): wall time, then a counter for ties.
///
/// If event a happened before event b (causally), the timestamp of a is lower.
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
    /// Timestamp for a local event or a message to be sent.
    HybridTime tick(std::int64_t wallMicros);
    /// Timestamp for the receipt of a message that carries \a remote.
    HybridTime receive(HybridTime remote, std::int64_t wallMicros);

private:
    std::mutex mutex_;
    HybridTime last_;
};

/// Numbers of all log events, documented in docs/events.md. A number is never reused.
enum class EventId : std::uint16_t {
    ProcessStarted = 100,
    ProcessStopping = 101,
    ProcessStopped = 102,
    SettingsRejected = 103,
    PauseDetected = 104,
    SettingsReloaded = 105,
    EntriesSuppressed = 106,
    HandlerFailed = 107,
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
    StoreRestored = 217,
    StoreRoleChanged = 218,
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
    CallerRejected = 428,
    UpstreamEjected = 440,
    UpstreamRestored = 441,
    UpstreamDraining = 442,
    UpstreamDrained = 443,
    UpstreamsChanged = 444,
    EvacuationChanged = 445,
    ShiftStepApplied = 450,
};

/// Name of an event, for example "ConfigApplied".
std::string_view eventName(EventId id);

/// All events with their names, in ascending order of their numbers.
std::vector<std::pair<EventId, std::string_view>> allEvents();

/// Values of an event by name: request, team, upstream, change, peer and so on.
using EventFields = std::map<std::string, std::string>;

/// An entry of the timeline.
struct Event
{
    HybridTime time;
    EventId id {};
    std::string process; ///< Name of the process that recorded it.
    EventFields fields;
};

/// Ring buffer of the latest events of one process. Also writes the events that Log selects to
/// standard error. Thread safe.
class Timeline
{
public:
    enum class Log {
        Standard,
        WithoutRequests, ///< Omits events 400 to 429, of which each request causes one or more.
        Off
    };

    /// Keeps the latest \a capacity events.
    Timeline(std::string process, std::size_t capacity, Log log = Log::Standard);

    void record(EventId id, EventFields fields = {});
    /// Advances the clock past the time of a message from another process.
    void receive(HybridTime remote);
    /// Timestamp for a message to be sent.
    HybridTime sendTime();
    /// Copy of the recorded events, oldest first.
    std::vector<Event> events() const;

private:
    const std::string process_;
    const std::size_t capacity_;
    const Log log_;
    HybridClock clock_;
    mutable std::mutex mutex_;
    std::deque<Event> ring_;
};

/// Formats an event as a log line: time, number, name, process and fields.
std::string formatEvent(const Event &event);

} // namespace endivequay

#endif
