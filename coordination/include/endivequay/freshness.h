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

/// What a service does on keyed routes while the configuration is not confirmed.
enum class StalePolicy : std::uint8_t { Refuse, Continue };

/// Report of a reader in the store's region that the store does not answer, as told to peers.
struct SilenceReport
{
    Incarnation reader;
    Revision revision; ///< Highest revision that the reader has applied.
    Interval sinceAge {}; ///< Since the start of its first unanswered read.
    Interval asOfAge {}; ///< Since the start of its latest unanswered read.

    bool operator==(const SilenceReport &) const = default;
};

/// Freshness of a node for events and status.
enum class FreshnessState : std::uint8_t {
    Unconfirmed, ///< No confirmation since the start.
    Confirmed,
    StoreSilent, ///< Confirmed by the agreement that the store answers nobody.
    Stale
};

struct FreshnessSettings
{
    Interval keyedLimit = std::chrono::seconds(4);
    /// A read without a response after this time counts as unanswered.
    Interval readTimeout = std::chrono::milliseconds(300);
    /// Silence reports older than this are not used; they would not extend keyedLimit.
    Interval evidenceAge = std::chrono::seconds(4);
    /// Relayed ages grow by this divisor's fraction: clocks may drift apart by 0.1 percent.
    int driftDivisor = 1'000;
};

/// Until when the applied configuration is known to be complete.
///
/// A confirmation is an instant t and a revision r: at t, r was the highest revision. It counts
/// from the moment at which the node has applied r. Not thread safe.
class Freshness
{
public:
    explicit Freshness(FreshnessSettings settings = {});

    /// The node has applied \a revision; confirmations up to it count.
    void applied(Revision revision);

    /// A linearizable read of the head that started at \a readStarted returned \a revision.
    void storeAnswered(Instant readStarted, Revision revision);
    /// A read that started at \a readStarted has no response at \a now. Only for readers in the
    /// store's region; \a reader is this node.
    void storeUnanswered(const Incarnation &reader, Instant readStarted, Instant now);
    /// A read that started at \a readStarted has ended without a response, for example because the
    /// connection was refused. Otherwise as storeUnanswered().
    void storeFailed(const Incarnation &reader, Instant readStarted);

    /// A peer that was asked at \a sent answered that it holds \a revision, confirmed \a age ago.
    void peerAnswered(Instant sent, Interval age, Revision revision);
    /// A peer that was asked at \a sent relayed a report, which arrived at \a now.
    void silenceReported(const SilenceReport &report, Instant sent, Instant now);

    /// Applies the silence rule: all of \a readers, those of every failure domain of the store's
    /// region that has members (Membership::readersOf()), report silence at a common instant.
    ///
    /// Call on nodes of the store's region. A change that the store accepted after the last
    /// answered read and before it fell silent is not known to anybody and stays unseen until it
    /// answers.
    void agreeOnSilence(const std::set<Incarnation> &readers, Instant now);

    /// Instant at which the applied configuration was known to be the latest.
    std::optional<Instant> confirmedAsOf() const;
    /// Age of the confirmation, to be sent to peers.
    std::optional<Interval> age(Instant now) const;
    /// Whether keyed routes of a service are served. Never before the first confirmation.
    bool servesKeyed(StalePolicy whenStale, Instant now) const;
    FreshnessState state(Instant now) const;
    /// The state if it changed since the last call.
    std::optional<FreshnessState> stateChange(Instant now);
    /// Usable reports, own one included, for relaying. While there are any, heartbeats and store
    /// reads go out twice a second, so that confirmations by silence arrive before keyedLimit.
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
        Instant since; ///< Not before the true instant.
        Instant asOf; ///< Not after the true instant.
    };

    void confirm(Revision revision, Confirmation confirmation);

    FreshnessSettings settings_;
    Revision applied_;
    std::optional<Confirmation> confirmed_;
    /// Confirmations of revisions that are not applied yet.
    std::map<Revision, Confirmation> pending_;
    std::map<Incarnation, Silence> silences_;
    std::optional<Incarnation> ownReader_;
    std::optional<Instant> lastAnsweredRead_;
    FreshnessState reported_ = FreshnessState::Unconfirmed;
};

} // namespace endivequay

#endif
