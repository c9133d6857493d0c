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

/// Report of a reader in the store's region that the store does not answer.
struct StoreSilence
{
    FailureDomainId domain; ///< Of the reader.
    Revision revision; ///< Highest revision that the reader has applied.
    Instant since; ///< Start of its first unanswered read, own clock of the holder.
    Instant asOf; ///< Start of its latest unanswered read.
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
    Interval readTimeout = std::chrono::milliseconds(800);
    /// Silence reports older than this are not used.
    Interval evidenceAge = std::chrono::seconds(3);
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
    /// store's region; \a domain is their own.
    void storeUnanswered(const FailureDomainId &domain, Instant readStarted, Instant now);

    /// A peer that was asked at \a sent answered that it holds \a revision, confirmed \a age ago.
    void peerAnswered(Instant sent, Interval age, Revision revision);
    /// A peer relayed a report; \a report has instants of this node's clock, from the send time of
    /// the question and the ages in the answer (see relayed()).
    void silenceReported(const StoreSilence &report);
    /// Instant that is certainly not after the event that was \a age old in the answer to a
    /// question sent at \a sent.
    Instant relayed(Instant sent, Interval age) const;

    /// Applies the silence rule: all of \a domains, the failure domains of the store's region that
    /// have members, report silence at a common instant. Call on nodes of the store's region.
    void agreeOnSilence(const std::set<FailureDomainId> &domains, Instant now);

    /// Instant at which the applied configuration was known to be the latest.
    std::optional<Instant> confirmedAsOf() const { return confirmedAsOf_; }
    /// Age of the confirmation, to be sent to peers.
    std::optional<Interval> age(Instant now) const;
    /// Whether keyed routes of a service are served. Never before the first confirmation.
    bool servesKeyed(StalePolicy whenStale, Instant now) const;
    FreshnessState state(Instant now) const;
    /// The state if it changed since the last call.
    std::optional<FreshnessState> stateChange(Instant now);
    /// Usable reports, own one included, for relaying.
    std::vector<StoreSilence> silences(Instant now) const;

private:
    struct Confirmation
    {
        Instant asOf;
        bool bySilence = false;
    };

    void confirm(Revision revision, Confirmation confirmation);

    FreshnessSettings settings_;
    Revision applied_;
    std::optional<Instant> confirmedAsOf_;
    bool confirmedBySilence_ = false;
    /// Confirmations of revisions that are not applied yet.
    std::map<Revision, Confirmation> pending_;
    std::map<FailureDomainId, StoreSilence> silences_;
    std::optional<Instant> lastAnsweredRead_;
    FreshnessState reported_ = FreshnessState::Unconfirmed;
};

} // namespace endivequay

#endif
