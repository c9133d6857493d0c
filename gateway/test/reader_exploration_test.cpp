// Asio must be included before CppUTest, whose memory macros break it.
#include "endivequay/storefollower.h"

#include "proptest.h"
#include "turnawaystore.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

constexpr Interval step = 20ms;
constexpr Interval tick = 100ms; ///< Timer interval of an idle instance in a large fleet.
constexpr Interval messageDelay = 40ms;
/// From the announcement of a change until an instance has it: two ticks, a relay and the request.
constexpr Interval requestDelay = 300ms;

constexpr Interval freezeTime = 1200ms;

enum class Fault {
    None,
    Crash, ///< Of the reader.
    Freeze, ///< Of the reader, for freezeTime.
    LostMessages ///< Every second announcement is lost.
};

struct Times
{
    Interval change; ///< The bound: changes are in use after this time.
    Interval recovery; ///< The store answers an instance for this long before it is bound.
    Interval electionChange; ///< What the election assumes for `change`.
};

Times timesFor(Interval change, Interval recovery)
{
    return { change, recovery, change };
}

/// The instances of one region of a large fleet, and a store that may turn each of them away.
class Region
{
public:
    using Mode = TurnAwayStore::Mode;

    Region(std::size_t size, const Times &times)
        : times_(times)
    {
        for (std::size_t i = 0; i < size; ++i)
            members_.push_back({ InstanceId(fmt::format("i-{:03}", i)), FailureDomainId("w-a"),
                RegionId("w"), Address("10.0.0.1:1"), Address("10.0.0.1:2"), Address("10.0.0.1:3"),
                1, static_cast<double>(size - i) });
        for (std::size_t i = 0; i < size; ++i)
            instances_.push_back(std::make_unique<Instance>(*this, i));
        runFor(2s);
        for (const auto &instance : instances_)
            instance->client.calls = 0;
        announcements = 0;
    }

    void runFor(Interval time)
    {
        for (const Instant end = now_ + time; now_ < end; now_ += step) {
            deliver();
            for (std::size_t i = 0; i < instances_.size(); ++i)
                advance(*instances_[i], i);
        }
    }

    void set(std::size_t index, Mode mode) { instances_[index]->client.setMode(mode); }
    void begin(Fault fault)
    {
        losesMessages_ = fault == Fault::LostMessages;
        if (fault == Fault::Crash)
            instances_.front()->stoppedUntil = Instant::max();
        if (fault == Fault::Freeze)
            instances_.front()->stoppedUntil = now_ + freezeTime;
        instances_.front()->faulty = fault == Fault::Crash || fault == Fault::Freeze;
    }
    void change() { store_.change(); }

    /// Number of instances that the store answered throughout \a calm and that lack the change.
    std::size_t behind(Interval calm) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(instances_, [&](const auto &each) {
            return !each->faulty && now_ - each->client.servedSince() >= calm
                && each->replica.asOf() < store_.position();
        }));
    }

    int calls() const
    {
        int sum = 0;
        for (const auto &instance : instances_)
            sum += instance->client.calls;
        return sum;
    }
    std::size_t heartbeatBytes() const { return encodeHeartbeat(heartbeatOf(0)).size(); }
    int announcements = 0;

private:
    struct Instance
    {
        Instance(Region &region, std::size_t index)
            : client(region.store_, region.now_)
            , peers(region.members_[index].id)
            , election(region.members_[index], peers, region.times_.electionChange)
            , follower(
                  client, replica, log, region.members_[index], 10s,
                  [&region] { return region.now_; },
                  [this, &region] { election.storeAnswered(region.now_); }, [] {})
        {
            client.recoveryTime = region.times_.recovery;
            peers.setRegistered(region.members_, region.now_);
        }

        DecisionLog log { "test", -1, {} };
        TurnAwayStoreClient client;
        Replica replica;
        PeerTable peers;
        ReaderElection election;
        StoreFollower<TurnAwayStoreClient> follower;
        Instant stoppedUntil;
        bool faulty = false;
    };

    struct Announcement
    {
        Instant at;
        std::size_t from;
        PeerHeartbeat heartbeat;
    };

    PeerHeartbeat heartbeatOf(std::size_t index) const
    {
        const Instance &instance = *instances_[index];
        return { members_[index].id, 1, {}, false, instance.replica.asOf(),
            instance.follower.stateAge(now_).value_or(24h), {} };
    }

    void advance(Instance &instance, std::size_t index)
    {
        if (now_ < instance.stoppedUntil)
            return;
        instance.client.advance();
        if ((now_.time_since_epoch() + step * static_cast<int>(index)) % tick != 0ms)
            return;
        const auto role = instance.replica.loaded() ? instance.election.update(now_)
                                                    : ReaderElection::Role::Reader;
        instance.follower.advance(now_, role, instance.election.pollTime());
        if (const auto confirmedAt = instance.follower.takeConfirmation()) {
            instance.election.stateConfirmed(*confirmedAt);
            ++announcements;
            if (!losesMessages_ || announcements % 2 == 0)
                messages_.push_back({ now_ + messageDelay, index, heartbeatOf(index) });
        }
    }

    void deliver()
    {
        for (auto &to : instances_) {
            if (now_ < to->stoppedUntil)
                continue;
            // Regular heartbeats; that they tell the state as well is not relied on.
            if (now_.time_since_epoch() % 500ms == 0ms)
                for (std::size_t i = 0; i < instances_.size(); ++i)
                    if (now_ >= instances_[i]->stoppedUntil)
                        to->peers.recordMessage(members_[i].id, now_);
            for (const Announcement &message : messages_)
                if (message.at == now_)
                    to->peers.recordReport(message.heartbeat, now_);
                else if (message.at + requestDelay == now_
                    && now_ >= instances_[message.from]->stoppedUntil)
                    to->replica.apply(
                        instances_[message.from]->replica.updates(to->replica.asOf()));
        }
        std::erase_if(messages_, [&](const auto &each) { return each.at + requestDelay <= now_; });
    }

    Times times_;
    Instant now_ { 1h };
    TurnAwayStore store_;
    std::vector<MemberRecord> members_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::vector<Announcement> messages_;
    bool losesMessages_ = false;
};

using Mode = TurnAwayStore::Mode;
constexpr std::size_t explored = 4; ///< Instances of the explored region.

/// The members of \a set are turned away as \a mode says.
void turnAway(Region &region, std::size_t set, Mode mode)
{
    for (std::size_t i = 0; i < explored; ++i)
        if ((set >> i & 1) != 0)
            region.set(i, mode);
}

struct Sequence
{
    std::size_t first = 0; ///< Set of instances that are turned away.
    Mode firstMode = Mode::Refused;
    std::size_t second = 0; ///< The same after a pause; includes the first set.
    Mode secondMode = Mode::Refused;
    Interval pause {};
    Interval changeAfter {}; ///< When the state changes, after the first set is turned away.
};

/// Returns the number of instances that get a change too late, while others are turned away or once
/// the store answers all again.
std::size_t play(const Times &times, const Sequence &sequence, Fault fault)
{
    Region region(explored, times);
    turnAway(region, sequence.first, sequence.firstMode);
    region.begin(fault);
    const Interval observed = sequence.changeAfter + times.change;
    for (Interval at = 0ms; at < observed; at += step) {
        if (at == sequence.pause)
            turnAway(region, sequence.second & ~sequence.first, sequence.secondMode);
        if (at == sequence.changeAfter)
            region.change();
        region.runFor(step);
    }
    std::size_t late = region.behind(times.recovery);
    turnAway(region, sequence.second, Mode::Served);
    region.runFor(times.recovery - times.change);
    region.change();
    region.runFor(times.change);
    return late + region.behind(times.recovery);
}

struct Outcome
{
    std::size_t plays = 0;
    std::size_t broken = 0;
    std::string first;

    void add(const Times &times, const Sequence &sequence, Fault fault)
    {
        ++plays;
        if (play(times, sequence, fault) == 0 || broken++ > 0)
            return;
        first = fmt::format("sets {:04b} {:04b}, modes {} {}, pause {} s, change after {} s",
            sequence.first, sequence.second, static_cast<int>(sequence.firstMode),
            static_cast<int>(sequence.secondMode), toSeconds(sequence.pause),
            toSeconds(sequence.changeAfter));
    }
};

/// Plays all pairs of sets of instances that are turned away one after the other, each refused or
/// without an answer, at all times of the grid.
Outcome explore(const Times &times, const std::vector<Interval> &pauses, Interval grid,
    Fault fault = Fault::None)
{
    Outcome outcome;
    constexpr std::size_t all = (std::size_t { 1 } << explored) - 1;
    for (std::size_t first = 0; first < all; ++first)
        for (std::size_t second = first; second < all; ++second) {
            if ((first & second) != first)
                continue;
            for (const Mode firstMode : { Mode::Refused, Mode::Silent })
                for (const Mode secondMode : { Mode::Refused, Mode::Silent })
                    for (const Interval pause : pauses)
                        for (Interval at = 0ms; at <= times.change; at += grid)
                            outcome.add(
                                times, { first, firstMode, second, secondMode, pause, at }, fault);
        }
    return outcome;
}

void checkNoneLate(const Outcome &outcome)
{
    CHECK_TEXT(outcome.plays > 0 && outcome.broken == 0,
        fmt::format("{} of {}, first: {}", outcome.broken, outcome.plays, outcome.first).c_str());
}

} // namespace

TEST_GROUP(ReaderExploration) {};

// Guards against instances that the store answers and that get a change too late, because it turns
// away those that read it for the others, or the next ones too.
TEST(ReaderExploration, ChangesReachAllWhomTheStoreAnswersInTime)
{
    const std::vector<Interval> pauses { 300ms, 700ms, 1100ms, 1500ms, 1900ms };
    checkNoneLate(explore(timesFor(2500ms, 3s), pauses, 100ms));
    checkNoneLate(explore(timesFor(3s, 4s), pauses, 300ms));
    checkNoneLate(explore(timesFor(4s, 4s), pauses, 400ms));
}

// Guards against the same where the reader crashes or freezes, or announcements are lost.
TEST(ReaderExploration, ChangesArriveInTimeBesideOtherFaults)
{
    for (const Fault fault : { Fault::Crash, Fault::Freeze, Fault::LostMessages })
        checkNoneLate(explore(timesFor(2500ms, 3s), { 300ms, 900ms, 1500ms }, 250ms, fault));
}

// Guards against an exploration that cannot show the fault: with the silence of 3.5 s after which
// readers were replaced before, changes come too late.
TEST(ReaderExploration, LongerSilencesBreakThePromise)
{
    const Times times { 2500ms, 3s, 2 * 3500ms + ReaderElection::handoverReserve };
    CHECK(explore(times, { 500ms }, 500ms).broken > 0);
}

// Guards against a fleet that overloads the store in calm or while it is away: at most a tenth of
// the calls that the store takes from a fleet of that size.
TEST(ReaderExploration, CallsStayFarBelowTheRateOfTheStore)
{
    struct Fleet
    {
        std::size_t instances;
        Times times;
        double callsPerSecond; ///< Rate of the store.
    };
    constexpr int regions = 3;
    for (const Fleet &fleet : { Fleet { 18, timesFor(2500ms, 3s), 2000 },
             Fleet { 90, timesFor(3s, 4s), 6000 }, Fleet { 295, timesFor(4s, 4s), 16000 } })
        for (const std::optional<Mode> mode :
            { std::optional<Mode>(), std::optional(Mode::Refused), std::optional(Mode::Silent) }) {
            const std::size_t size = fleet.instances / regions;
            Region region(size, fleet.times);
            for (std::size_t i = 0; mode && i < size; ++i)
                region.set(i, *mode);
            constexpr Interval observed = 20s;
            region.runFor(observed);
            const double calls = region.calls() * regions / toSeconds(observed);
            const double announced = region.announcements * regions / toSeconds(observed)
                * static_cast<double>(size - 1);
            const char *state = !mode ? "calm" : *mode == Mode::Refused ? "refused" : "silent";
            UT_PRINT(fmt::format("{} instances, {}: {:.1f} calls/s, {:.1f} confirmations/s of {} "
                                 "bytes",
                fleet.instances, state, calls, announced, region.heartbeatBytes())
                         .c_str());
            CHECK(calls < fleet.callsPerSecond / 10);
        }
}
