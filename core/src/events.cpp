#include "endivequay/events.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace endivequay {

namespace {

constexpr std::pair<EventId, std::string_view> catalogue[] = {
    { EventId::ProcessStarted, "ProcessStarted" },
    { EventId::ProcessStopping, "ProcessStopping" },
    { EventId::ProcessStopped, "ProcessStopped" },
    { EventId::SettingsRejected, "SettingsRejected" },
    { EventId::PauseDetected, "PauseDetected" },
    { EventId::SettingsReloaded, "SettingsReloaded" },
    { EventId::EntriesSuppressed, "EntriesSuppressed" },
    { EventId::HandlerFailed, "HandlerFailed" },
    { EventId::ConfigApplied, "ConfigApplied" },
    { EventId::ConfigRejected, "ConfigRejected" },
    { EventId::ConfigConfirmed, "ConfigConfirmed" },
    { EventId::ConfigStale, "ConfigStale" },
    { EventId::ConfigSourceChanged, "ConfigSourceChanged" },
    { EventId::ConfigChangeAccepted, "ConfigChangeAccepted" },
    { EventId::ConfigChangeConflict, "ConfigChangeConflict" },
    { EventId::StoreSilent, "StoreSilent" },
    { EventId::StoreAnswered, "StoreAnswered" },
    { EventId::StateFromPeer, "StateFromPeer" },
    { EventId::EntryRejected, "EntryRejected" },
    { EventId::Registered, "Registered" },
    { EventId::RegistrationLost, "RegistrationLost" },
    { EventId::StateNotHandedOver, "StateNotHandedOver" },
    { EventId::StoreRestored, "StoreRestored" },
    { EventId::StoreRoleChanged, "StoreRoleChanged" },
    { EventId::PeerJoined, "PeerJoined" },
    { EventId::PeerSuspected, "PeerSuspected" },
    { EventId::PeerRecovered, "PeerRecovered" },
    { EventId::PeerLeft, "PeerLeft" },
    { EventId::PeerRejected, "PeerRejected" },
    { EventId::PeerConnectionReplaced, "PeerConnectionReplaced" },
    { EventId::PeerMessageRejected, "PeerMessageRejected" },
    { EventId::CellsReleased, "CellsReleased" },
    { EventId::CellsOwned, "CellsOwned" },
    { EventId::CellsReclaimed, "CellsReclaimed" },
    { EventId::LedgerConflict, "LedgerConflict" },
    { EventId::LoanGranted, "LoanGranted" },
    { EventId::LoanReceived, "LoanReceived" },
    { EventId::OperationIssued, "OperationIssued" },
    { EventId::OperationStarted, "OperationStarted" },
    { EventId::OperationDone, "OperationDone" },
    { EventId::OperationNotRun, "OperationNotRun" },
    { EventId::OperationUnknown, "OperationUnknown" },
    { EventId::RequestAdmitted, "RequestAdmitted" },
    { EventId::RequestRefused, "RequestRefused" },
    { EventId::RequestPassedOn, "RequestPassedOn" },
    { EventId::RequestAnswered, "RequestAnswered" },
    { EventId::RequestSent, "RequestSent" },
    { EventId::AttemptEnded, "AttemptEnded" },
    { EventId::CallerLeft, "CallerLeft" },
    { EventId::RequestWaits, "RequestWaits" },
    { EventId::UpstreamEjected, "UpstreamEjected" },
    { EventId::UpstreamRestored, "UpstreamRestored" },
    { EventId::UpstreamDraining, "UpstreamDraining" },
    { EventId::UpstreamDrained, "UpstreamDrained" },
    { EventId::UpstreamsChanged, "UpstreamsChanged" },
    { EventId::EvacuationChanged, "EvacuationChanged" },
    { EventId::ShiftStepApplied, "ShiftStepApplied" },
};

std::int64_t wallMicros()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

bool isRequestEvent(EventId id)
{
    constexpr int first = 400;
    constexpr int last = 429;
    return static_cast<int>(id) >= first && static_cast<int>(id) <= last;
}

} // namespace

HybridTime HybridClock::tick(std::int64_t wallMicros)
{
    const std::lock_guard lock(mutex_);
    if (wallMicros > last_.wallMicros)
        last_ = { wallMicros, 0 };
    else
        ++last_.counter;
    return last_;
}

HybridTime HybridClock::receive(HybridTime remote, std::int64_t wallMicros)
{
    const std::lock_guard lock(mutex_);
    const HybridTime latest = std::max(last_, remote);
    if (wallMicros > latest.wallMicros)
        last_ = { wallMicros, 0 };
    else
        last_ = { latest.wallMicros, latest.counter + 1 };
    return last_;
}

std::string_view eventName(EventId id)
{
    const auto found
        = std::ranges::find(catalogue, id, &std::pair<EventId, std::string_view>::first);
    return found == std::end(catalogue) ? "Unknown" : found->second;
}

std::vector<std::pair<EventId, std::string_view>> allEvents()
{
    return { std::begin(catalogue), std::end(catalogue) };
}

Timeline::Timeline(std::string process, std::size_t capacity, Log log)
    : process_(std::move(process))
    , capacity_(capacity)
    , log_(log)
{ }

void Timeline::record(EventId id, EventFields fields)
{
    Event event { clock_.tick(wallMicros()), id, process_, std::move(fields) };
    if (log_ == Log::Standard || (log_ == Log::WithoutRequests && !isRequestEvent(id)))
        fmt::print(stderr, "{}\n", formatEvent(event));
    const std::lock_guard lock(mutex_);
    ring_.push_back(std::move(event));
    if (ring_.size() > capacity_)
        ring_.pop_front();
}

void Timeline::receive(HybridTime remote)
{
    clock_.receive(remote, wallMicros());
}

HybridTime Timeline::sendTime()
{
    return clock_.tick(wallMicros());
}

std::vector<Event> Timeline::events() const
{
    const std::lock_guard lock(mutex_);
    return { ring_.begin(), ring_.end() };
}

std::string formatEvent(const Event &event)
{
    const std::chrono::sys_time<std::chrono::microseconds> time { std::chrono::microseconds(
        event.time.wallMicros) };
    const auto micros = event.time.wallMicros % 1'000'000;
    std::string line = fmt::format("{:%FT%T}.{:06}Z E{:03} {} process={}",
        std::chrono::floor<std::chrono::seconds>(time), micros, static_cast<int>(event.id),
        eventName(event.id), event.process);
    for (const auto &[name, value] : event.fields)
        line += fmt::format(" {}={}", name, value);
    return line;
}

} // namespace endivequay
