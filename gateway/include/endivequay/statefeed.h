#ifndef ENDIVEQUAY_STATEFEED_H
#define ENDIVEQUAY_STATEFEED_H

#include "endivequay/controlstore.h"
#include "endivequay/decisionlog.h"
#include "endivequay/digest.h"

#include <algorithm>
#include <functional>
#include <optional>

namespace endivequay {

/// Replicates the control state from the store: lists it once, then watches for changes, and lists
/// again when the store has discarded the history or was restored. Not thread safe.
///
/// Driven by advance(), so retries need no timer of their own.
template <ControlStore Store>
class StateFeed
{
public:
    /// Interval between a call and the one after its failure; doubles up to maxBackoff. A call that
    /// took longer is repeated at once.
    static constexpr Interval initialBackoff = std::chrono::milliseconds(100);
    /// Short enough for an instance to catch up within three seconds after its link recovers.
    static constexpr Interval maxBackoff = std::chrono::milliseconds(800);
    /// Minimum interval between two watches. Batches changes that arrive in quick succession,
    /// because every store call has a cost.
    static constexpr Interval watchInterval = std::chrono::milliseconds(120);
    /// Long-poll time of a watch that only confirms the state.
    static constexpr Interval confirmingPollTime = std::chrono::milliseconds(1);

    StateFeed(Store &store, Replica &replica, DecisionLog &log, std::function<Instant()> now,
        std::function<void()> changed)
        : store_(store)
        , replica_(replica)
        , log_(log)
        , now_(std::move(now))
        , changed_(std::move(changed))
    { }

    /// Limits the long poll of watches, so that their responses confirm the state more often than
    /// the store's own limit does.
    void setPollTime(std::optional<Interval> pollTime) { pollTime_ = pollTime; }

    /// Begins to follow the store after other calls than those of advance() have delivered the
    /// state. A watch from before may have been lost since.
    void resume(Instant now)
    {
        abandonWatch(now);
        confirmed_ = false;
        retryAt_ = std::min(retryAt_, now);
    }

    void advance(Instant now)
    {
        checkEpoch(now);
        if (callPending_ || now < retryAt_ || !replica_.mayAdopt(epoch_, now))
            return;
        callPending_ = true;
        if (historyCompacted_ || !replica_.loaded() || epoch_ > replica_.asOf().epoch)
            list();
        else
            watch();
    }

    /// Records the success of any store call.
    void storeAnswered(Instant now)
    {
        checkEpoch(now);
        if (!healthy_) {
            log_.write(EventId::StoreAnswered, "store", now,
                { { "silent_ms", toSeconds(now - lastAnswerAt_) * 1000 } });
            abandonWatch(now);
        }
        healthy_ = true;
        lastAnswerAt_ = now;
    }

    /// Records the failure of any store call.
    void storeFailed(const Error &error, Instant now)
    {
        if (healthy_)
            log_.write(EventId::StoreSilent, error.reason, now,
                { { "step", error.step }, { "peer", error.peer }, { "reason", error.reason },
                    { "state", replica_.asOf().revision.value() } });
        healthy_ = false;
    }

    /// When a listing or watch last succeeded. Other calls do not confirm the state: the store may
    /// have lost the pending watch.
    Instant confirmedAt() const { return confirmedAt_; }
    bool healthy() const { return healthy_; }

private:
    void checkEpoch(Instant now)
    {
        const StoreEpoch epoch = store_.epoch();
        if (epoch == epoch_)
            return;
        if (epoch_ != StoreEpoch(0))
            log_.write(EventId::StoreRestored, "restored", now,
                { { "epoch", epoch.value() }, { "from", epoch_.value() },
                    { "state", replica_.asOf().revision.value() } });
        epoch_ = epoch;
        replica_.epochSeen(epoch, adoptionDeadline(now));
        abandonWatch(now);
    }

    /// When the state of an epoch may be adopted that was seen \a now. The store was restored at an
    /// unknown time after its last sign of life, and the instance must have caught up in time.
    Instant adoptionDeadline(Instant now) const
    {
        const Instant restoredAfter = std::max(lastAnswerAt_, lastFailedCallAt_);
        return std::min(now + Replica::rewriteTime, restoredAfter + store_.watchTimeout());
    }

    void list()
    {
        const Instant askedAt = now_();
        store_.list([this, askedAt](Result<ReplicaUpdate> result) {
            callPending_ = false;
            if (!result) {
                handleFailure(result.lastReason(), askedAt);
                return;
            }
            historyCompacted_ = false;
            result->confirmedAt = askedAt;
            apply(*result);
        });
    }

    /// A store that was unreachable may have lost the pending watch and would never answer it.
    void abandonWatch(Instant now)
    {
        if (!watchPending_)
            return;
        ++watchNumber_;
        watchPending_ = false;
        callPending_ = false;
        retryAt_ = now;
    }

    void watch()
    {
        const Instant askedAt = now_();
        watchPending_ = true;
        // Instances that wait for a confirmation need not wait for the poll as well.
        const auto pollTime = pollTime_ && !confirmed_ ? confirmingPollTime : pollTime_;
        // The replica may have later changes from a peer than from the last watch.
        store_.watch(replica_.asOf(), pollTime.value_or(store_.watchTimeout()),
            [this, askedAt, number = ++watchNumber_](Result<WatchResult> result) {
                if (number != watchNumber_)
                    return;
                watchPending_ = false;
                callPending_ = false;
                if (!result) {
                    handleFailure(result.lastReason(), askedAt);
                    return;
                }
                historyCompacted_ = result->compacted;
                result->update.confirmedAt = askedAt;
                if (result->compacted)
                    storeAnswered(now_());
                else
                    apply(result->update);
            });
    }

    void apply(const ReplicaUpdate &update)
    {
        const Instant now = now_();
        storeAnswered(now);
        confirmed_ = true;
        confirmedAt_ = now;
        backoff_ = initialBackoff;
        retryAt_ = now + watchInterval;
        if (replica_.mayAdopt(update.asOf.epoch, now) && replica_.apply(update))
            changed_();
    }

    void handleFailure(const Error &error, Instant askedAt)
    {
        storeFailed(error, now_());
        confirmed_ = false;
        lastFailedCallAt_ = askedAt;
        retryAt_ = askedAt + backoff_;
        backoff_ = std::min(backoff_ * 2, maxBackoff);
    }

    Store &store_;
    Replica &replica_;
    DecisionLog &log_;
    std::function<Instant()> now_;
    std::function<void()> changed_;
    bool callPending_ = false;
    bool watchPending_ = false;
    std::uint64_t watchNumber_ = 0; ///< Latest watch; responses to earlier ones are ignored.
    bool historyCompacted_ = false;
    bool healthy_ = true;
    Instant retryAt_;
    std::optional<Interval> pollTime_;
    bool confirmed_ = false; ///< The latest listing or watch succeeded.
    Instant confirmedAt_;
    Instant lastAnswerAt_;
    Instant lastFailedCallAt_; ///< When the latest call that failed was sent.
    Interval backoff_ = initialBackoff;
    StoreEpoch epoch_; ///< Latest known epoch.
};

/// Keeps this instance's registration in the store under a lease. Not thread safe.
template <ControlStore Store>
class Registration
{
public:
    /// After a restore the instances register again within this time, so that a large fleet does
    /// not exceed the write limit of the store.
    static constexpr Interval reregistrationSpread = std::chrono::seconds(1);
    /// Interval between a failed probe and the next one, and its growth with each further failure.
    static constexpr Interval initialProbeInterval = std::chrono::milliseconds(200);
    static constexpr int probeIntervalGrowth = 4;

    /// Renews after a third of \a leaseTime, so that one lost renewal does not end the lease.
    Registration(Store &store, MemberRecord member, Interval leaseTime,
        std::function<Instant()> now, DecisionLog &log,
        std::function<void(const Status &)> reportStatus)
        : store_(store)
        , member_(std::move(member))
        , renewInterval_(leaseTime / 3)
        , now_(std::move(now))
        , log_(log)
        , reportStatus_(std::move(reportStatus))
    { }

    void advance(Instant now)
    {
        if (lease_ != 0 && store_.epoch() != leaseEpoch_)
            dropLease(now);
        if (callPending_ || stopped_ || now < nextAt_)
            return;
        callPending_ = true;
        calledAt_ = now;
        nextAt_ = now + renewInterval_;
        if (lease_ == 0)
            grant();
        else if (!registered_)
            registerInstance();
        else
            renew();
    }

    /// Makes the next call at once, to find out whether the store answers. After a failure, the
    /// interval to the call before grows up to the time within which a watch is repeated.
    void probe(Instant now)
    {
        if (now >= probeAt_)
            nextAt_ = std::min(nextAt_, now);
    }

    void stop()
    {
        stopped_ = true;
        if (lease_ != 0 && store_.epoch() == leaseEpoch_)
            store_.endLease(lease_, [](const Result<Done> &) {});
        lease_ = 0;
    }

    bool registered() const { return registered_; }

private:
    template <class T>
    bool succeeded(const Result<T> &result)
    {
        callPending_ = false;
        probeAt_ = result ? now_() : calledAt_ + probeInterval_;
        probeInterval_ = result
            ? initialProbeInterval
            : std::min(probeInterval_ * probeIntervalGrowth, store_.watchTimeout());
        reportStatus_(result ? Status(Done {}) : Status(result.lastReason()));
        return result.hasValue();
    }

    /// A restored store may not know the lease, or have given its id to another instance.
    void dropLease(Instant now)
    {
        log_.write(EventId::RegistrationLost, "restored", now, { { "lease", lease_ } });
        lease_ = 0;
        registered_ = false;
        const auto spreadMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(reregistrationSpread).count();
        const auto hash = hash64(member_.id.value()) % static_cast<std::uint64_t>(spreadMs);
        nextAt_ = now + std::chrono::milliseconds(hash);
        probeAt_ = nextAt_;
    }

    void grant()
    {
        store_.grantLease([this](const Result<LeaseId> &result) {
            if (!succeeded(result) || stopped_)
                return;
            lease_ = *result;
            leaseEpoch_ = store_.epoch();
            nextAt_ = now_();
        });
    }

    void registerInstance()
    {
        store_.registerMember(member_, lease_, [this](const Result<Done> &result) {
            registered_ = succeeded(result);
            if (registered_)
                log_.write(EventId::Registered, "registered", now_(),
                    { { "lease", lease_ }, { "incarnation", member_.incarnation } });
            else
                lease_ = 0; // It may have expired; request a new one.
        });
    }

    void renew()
    {
        store_.renewLease(lease_, [this](const Result<bool> &result) {
            if (!succeeded(result) || *result)
                return;
            log_.write(EventId::RegistrationLost, "lost", now_(), { { "lease", lease_ } });
            lease_ = 0;
            registered_ = false;
            nextAt_ = now_();
        });
    }

    Store &store_;
    const MemberRecord member_;
    const Interval renewInterval_;
    std::function<Instant()> now_;
    DecisionLog &log_;
    std::function<void(const Status &)> reportStatus_;
    LeaseId lease_ = 0;
    StoreEpoch leaseEpoch_; ///< Epoch in which lease_ was granted.
    bool registered_ = false;
    bool callPending_ = false;
    bool stopped_ = false;
    Instant nextAt_;
    Instant calledAt_;
    Instant probeAt_; ///< Earliest time of a probe.
    Interval probeInterval_ = initialProbeInterval;
};

} // namespace endivequay

#endif
