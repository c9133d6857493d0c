#ifndef ENDIVEQUAY_FRESHNESS_H
#define ENDIVEQUAY_FRESHNESS_H

#include "endivequay/clock.h"
#include "endivequay/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace endivequay {

/// How a service handles keyed routes while its configuration is stale.
enum class StalePolicy : std::uint8_t { Refuse, Continue };

/// Report to peers by a store reader in the store's region that the store does not respond.
struct SilenceReport
{
    Incarnation reader;
    Revision revision; ///< Highest revision applied by the reader.
    Interval sinceAge {}; ///< Time since the start of its first unanswered read.
    Interval asOfAge {}; ///< Time since the start of its latest unanswered read.

    bool operator==(const SilenceReport &) const = default;
};

/// Freshness of the configuration, reported in events and status.
enum class FreshnessState : std::uint8_t {
    Unconfirmed, ///< Never confirmed since process start.
    Confirmed,
    StoreSilent, ///< Confirmed because all readers report that the store does not respond.
    Stale
};

struct FreshnessSettings
{
    /// Age of the confirmation from which keyed routes with StalePolicy::Refuse are refused.
    Interval maxKeyedStaleness = std::chrono::seconds(4);
    /// A read counts as unanswered after this time.
    Interval readTimeout = std::chrono::milliseconds(300);
    /// Older silence reports are ignored: they would not keep the confirmation within
    /// maxKeyedStaleness.
    Interval maxSilenceReportAge = std::chrono::seconds(4);
    /// Relayed ages are increased by 1 / driftDivisor, as clocks may drift apart by 0.1 percent.
    int driftDivisor = 1'000;
};

/// Tracks until which instant the applied configuration is known to be the latest.
///
/// A confirmation of revision r at instant t states that r was the highest revision at t. It takes
/// effect when this node has applied r. Not thread safe.
class Freshness
{
public:
    explicit Freshness(FreshnessSettings settings = {});

    /// This node has applied \a revision; confirmations up to it take effect.
    void applied(Revision revision);

    /// A linearizable read of the head revision that started at \a readStarted returned \a
    /// revision.
    void storeAnswered(Instant readStarted, Revision revision);
    /// A read that started at \a readStarted has no response at \a now. Call only on store readers
    /// in the store's region; \a reader is this node.
    void storeUnanswered(const Incarnation &reader, Instant readStarted, Instant now);
    /// Like storeUnanswered(), but for a read that ended without a response, for example because
    /// the connection was refused. It counts at once.
    void storeFailed(const Incarnation &reader, Instant readStarted);

    /// Response of a peer to a request sent at \a sent: \a revision was confirmed there \a age ago.
    void peerAnswered(Instant sent, Interval age, Revision revision);
    /// Report in a response that arrived at \a now, to a request sent at \a sent.
    void silenceReported(const SilenceReport &report, Instant sent, Instant now);

    /// Confirms the highest reported revision if all of \a readers report, for a common instant,
    /// that the store does not respond: no reader can then have seen a newer revision. \a readers
    /// are the store readers of every failure domain of the store's region that has members
    /// (Membership::readersOf()).
    ///
    /// Call on nodes of the store's region. A change that the store accepted between the last
    /// answered read and the outage is unknown to all nodes and stays undetected until the store
    /// responds.
    void confirmByStoreSilence(const std::set<Incarnation> &readers, Instant now);

    /// Latest instant at which the applied configuration was known to be the newest.
    std::optional<Instant> confirmedAsOf() const;
    /// Age of the confirmation, to be sent to peers.
    std::optional<Interval> age(Instant now) const;
    /// Whether keyed routes of a service are served; always false before the first confirmation.
    bool servesKeyed(StalePolicy whenStale, Instant now) const;
    FreshnessState state(Instant now) const;
    /// The state if it changed since the last call.
    std::optional<FreshnessState> stateChange(Instant now);
    /// Current silence reports, including the own one, for relaying. While there are any,
    /// heartbeats and store reads are sent twice a second, so that confirmations by
    /// confirmByStoreSilence() arrive within maxKeyedStaleness.
    std::vector<SilenceReport> silences(Instant now) const;

private:
    struct Confirmation
    {
        Instant asOf;
        bool bySilence = false;
    };
    struct Silence
    {
        Revision revision;
        Instant since; ///< Upper bound of the true instant.
        Instant asOf; ///< Lower bound of the true instant.
    };

    void confirm(Revision revision, Confirmation confirmation);

    FreshnessSettings settings_;
    Revision applied_;
    std::optional<Confirmation> confirmed_;
    /// Confirmations of revisions that this node has not applied yet.
    std::map<Revision, Confirmation> pending_;
    std::map<Incarnation, Silence> silences_;
    std::optional<Incarnation> ownIncarnation_;
    std::optional<Instant> lastAnsweredRead_;
    FreshnessState lastReportedState_ = FreshnessState::Unconfirmed;
};

} // namespace endivequay

#endif
