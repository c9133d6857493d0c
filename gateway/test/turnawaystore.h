#ifndef ENDIVEQUAY_TURNAWAYSTORE_H
#define ENDIVEQUAY_TURNAWAYSTORE_H

#include "endivequay/controlstore.h"

#include <algorithm>
#include <utility>
#include <vector>

// Simulated store on a virtual clock that may turn each instance away.
namespace endivequay {

/// State that has only a revision.
class TurnAwayStore
{
public:
    enum class Mode {
        Served,
        Refused, ///< Calls fail; pending ones at once.
        Silent ///< Calls fail by their timeouts, pending ones too.
    };

    void change() { ++revision_; }
    StorePosition position() const { return StorePosition(Revision(revision_)); }

private:
    std::int64_t revision_ = 5;
};

/// Connection of one instance to the store.
class TurnAwayStoreClient
{
public:
    using Mode = TurnAwayStore::Mode;

    static constexpr Interval roundTrip = std::chrono::milliseconds(40);
    static constexpr Interval callTimeout = std::chrono::milliseconds(1500);
    static constexpr Interval watchReserve = std::chrono::milliseconds(800);

    TurnAwayStoreClient(TurnAwayStore &store, const Instant &now)
        : store_(store)
        , now_(now)
    { }

    void setMode(Mode mode)
    {
        servedSince_ = mode == Mode::Served ? now_ : Instant::max();
        mode_ = mode;
        for (Call &call : pending_) {
            call.lost = call.lost || mode == Mode::Silent;
            if (mode == Mode::Refused)
                call.failsAt = now_;
        }
    }
    Instant servedSince() const { return servedSince_; }

    /// Completes the calls that are due.
    void advance()
    {
        for (std::size_t i = 0; i < pending_.size();) {
            const bool answered = !pending_[i].lost && mode_ == Mode::Served && isDue(pending_[i]);
            if (!answered && now_ < pending_[i].failsAt) {
                ++i;
                continue;
            }
            const auto complete = std::move(pending_[i].complete);
            pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(i));
            complete(answered);
        }
    }

    StoreEpoch epoch() const { return {}; }
    Interval watchTimeout() const { return recoveryTime - watchReserve; }

    void list(Callback<ReplicaUpdate> done)
    {
        call(callTimeout, [this, done = std::move(done)](bool answered) {
            if (answered)
                done(update(true));
            else
                done(failure());
        });
    }
    void watch(StorePosition after, Interval pollTime, Callback<WatchResult> done)
    {
        const Interval poll = std::min(pollTime, watchTimeout() / 2);
        call(poll + watchTimeout() / 2, [this, done = std::move(done)](bool answered) {
            if (answered)
                done(WatchResult { update(false), false });
            else
                done(failure());
        });
        pending_.back().after = after;
        pending_.back().pollEnd = now_ + poll;
    }
    void grantLease(Callback<LeaseId> done) { callWith(std::move(done), LeaseId { 1 }); }
    void registerMember(const MemberRecord &, LeaseId, Callback<Done> done)
    {
        callWith(std::move(done), Done {});
    }
    void renewLease(LeaseId, Callback<bool> done) { callWith(std::move(done), true); }
    void endLease(LeaseId, Callback<Done> done) { callWith(std::move(done), Done {}); }

    int calls = 0;
    Interval recoveryTime = std::chrono::seconds(3);

private:
    struct Call
    {
        Instant sentAt;
        Instant failsAt;
        bool lost = false;
        std::optional<StorePosition> after; ///< Of a watch.
        Instant pollEnd;
        std::function<void(bool answered)> complete;
    };

    static Error failure() { return { "store.call", "store", "turned away" }; }

    bool isDue(const Call &call) const
    {
        return now_ >= call.sentAt + roundTrip
            && (!call.after || *call.after < store_.position() || now_ >= call.pollEnd);
    }

    ReplicaUpdate update(bool isSnapshot) const
    {
        const StorePosition position = store_.position();
        return { { { "k", std::to_string(position.revision.value()), position.revision } },
            position, isSnapshot, {} };
    }

    void call(Interval timeout, std::function<void(bool)> complete)
    {
        ++calls;
        const Instant failsAt = now_ + (mode_ == Mode::Refused ? roundTrip : timeout);
        pending_.push_back({ now_, failsAt, mode_ != Mode::Served, {}, {}, std::move(complete) });
    }

    template <class T>
    void callWith(Callback<T> done, T value)
    {
        call(callTimeout, [done = std::move(done), value](bool answered) {
            if (answered)
                done(value);
            else
                done(failure());
        });
    }

    TurnAwayStore &store_;
    const Instant &now_;
    Mode mode_ = Mode::Served;
    Instant servedSince_;
    std::vector<Call> pending_;
};

} // namespace endivequay

#endif
