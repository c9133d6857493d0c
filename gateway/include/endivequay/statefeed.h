#ifndef ENDIVEQUAY_STATEFEED_H
#define ENDIVEQUAY_STATEFEED_H

#include "endivequay/controlstore.h"
#include "endivequay/decisionlog.h"

#include <algorithm>
#include <functional>

namespace endivequay {

/// Keeps a replica up to date from the store: reads everything once, then follows the changes, and
/// starts again when the history is gone. Not thread safe.
///
/// Time passes through advance(), so that the retries need no timer of their own.
template <ControlStore Store>
class StateFeed
{
public:
    /// Wait after the first failure; doubles up to longestBackoff.
    static constexpr Interval firstBackoff = std::chrono::milliseconds(100);
    /// A node that gets its link back has three seconds to catch up.
    static constexpr Interval longestBackoff = std::chrono::milliseconds(800);
    /// Least time between two watches. Changes that come in a series share an answer, because every
    /// call is paid for.
    static constexpr Interval watchInterval = std::chrono::milliseconds(120);

    StateFeed(Store &store, Replica &replica, DecisionLog &log, std::function<Instant()> now,
        std::function<void()> changed)
        : store_(store)
        , replica_(replica)
        , log_(log)
        , now_(std::move(now))
        , changed_(std::move(changed))
    { }

    void advance(Instant now)
    {
        if (busy_ || now < retryAt_)
            return;
        busy_ = true;
        if (historyLost_ || !replica_.loaded())
            list();
        else
            watch();
    }

    /// Another call to the store succeeded.
    void storeAnswered(Instant now)
    {
        if (!healthy_) {
            log_.write(EventId::StoreAnswered, "store", now,
                { { "silent_ms", toSeconds(now - answeredAt_) * 1000 } });
            abandonWatch(now);
        }
        healthy_ = true;
        answeredAt_ = now;
    }

    void storeFailed(const Error &error, Instant now)
    {
        if (healthy_)
            log_.write(EventId::StoreSilent, error.reason, now,
                { { "step", error.step }, { "peer", error.peer }, { "reason", error.reason },
                    { "state", replica_.asOf().value() } });
        healthy_ = false;
    }

    Instant answeredAt() const { return answeredAt_; }
    bool healthy() const { return healthy_; }

private:
    void list()
    {
        const Instant askedAt = now_();
        store_.list([this, askedAt](Result<ReplicaUpdate> result) {
            busy_ = false;
            if (!result) {
                failed(result.lastReason());
                return;
            }
            historyLost_ = false;
            result->confirmedAt = askedAt;
            apply(*result);
        });
    }

    /// A store that was silent may have lost the watch and would never answer it.
    void abandonWatch(Instant now)
    {
        if (!watching_)
            return;
        ++watches_;
        watching_ = false;
        busy_ = false;
        retryAt_ = now;
    }

    void watch()
    {
        const Instant askedAt = now_();
        watching_ = true;
        // A peer may have brought later changes than the last watch did.
        store_.watch(
            replica_.asOf(), [this, askedAt, number = ++watches_](Result<WatchResult> result) {
                if (number != watches_)
                    return;
                watching_ = false;
                busy_ = false;
                if (!result) {
                    failed(result.lastReason());
                    return;
                }
                historyLost_ = result->compacted;
                result->update.confirmedAt = askedAt;
                if (!result->compacted)
                    apply(result->update);
            });
    }

    void apply(const ReplicaUpdate &update)
    {
        storeAnswered(now_());
        backoff_ = firstBackoff;
        retryAt_ = now_() + watchInterval;
        if (replica_.apply(update))
            changed_();
    }

    void failed(const Error &error)
    {
        const Instant now = now_();
        storeFailed(error, now);
        retryAt_ = now + backoff_;
        backoff_ = std::min(backoff_ * 2, longestBackoff);
    }

    Store &store_;
    Replica &replica_;
    DecisionLog &log_;
    std::function<Instant()> now_;
    std::function<void()> changed_;
    bool busy_ = false;
    bool watching_ = false;
    std::uint64_t watches_
        = 0; ///< Number of the latest watch; answers to earlier ones are ignored.
    bool historyLost_ = false;
    bool healthy_ = true;
    Instant retryAt_;
    Instant answeredAt_;
    Interval backoff_ = firstBackoff;
};

/// Keeps this instance's registration in the store under a lease. Not thread safe.
template <ControlStore Store>
class Registration
{
public:
    /// A third of the lease, so that one lost renewal does not end it.
    Registration(Store &store, MemberRecord member, Interval leaseTime,
        std::function<Instant()> now, DecisionLog &log, std::function<void(const Status &)> outcome)
        : store_(store)
        , member_(std::move(member))
        , renewInterval_(leaseTime / 3)
        , now_(std::move(now))
        , log_(log)
        , outcome_(std::move(outcome))
    { }

    void advance(Instant now)
    {
        if (busy_ || stopped_ || now < nextAt_)
            return;
        busy_ = true;
        nextAt_ = now + renewInterval_;
        if (lease_ == 0)
            grant();
        else if (!registered_)
            enter();
        else
            renew();
    }

    void stop()
    {
        stopped_ = true;
        if (lease_ != 0)
            store_.endLease(lease_, [](const Result<Done> &) {});
        lease_ = 0;
    }

    bool registered() const { return registered_; }

private:
    template <class T>
    bool succeeded(const Result<T> &result)
    {
        busy_ = false;
        outcome_(result ? Status(Done {}) : Status(result.lastReason()));
        return result.hasValue();
    }

    void grant()
    {
        store_.grantLease([this](const Result<LeaseId> &result) {
            if (!succeeded(result) || stopped_)
                return;
            lease_ = *result;
            nextAt_ = now_();
        });
    }

    void enter()
    {
        store_.registerMember(member_, lease_, [this](const Result<Done> &result) {
            registered_ = succeeded(result);
            if (registered_)
                log_.write(EventId::Registered, "registered", now_(),
                    { { "lease", lease_ }, { "incarnation", member_.incarnation } });
            else
                lease_ = 0; // It may have ended; a new one is free of doubt.
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
    std::function<void(const Status &)> outcome_;
    LeaseId lease_ = 0;
    bool registered_ = false;
    bool busy_ = false;
    bool stopped_ = false;
    Instant nextAt_;
};

} // namespace endivequay

#endif
