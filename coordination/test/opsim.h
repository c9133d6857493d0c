#ifndef ENDIVEQUAY_TEST_OPSIM_H
#define ENDIVEQUAY_TEST_OPSIM_H

#include "history.h"
#include "schedule.h"

#include <memory>
#include <random>

namespace endivequay::test {

/// Simulates two instances, callers that repeat requests, and an upstream in virtual time, with
/// message loss, duplicates, reordering, crashes and a small memory limit.
class OperationSimulation
{
public:
    static constexpr Interval lifetime = std::chrono::seconds(5);

    OperationSimulation(std::uint64_t seed, int operations, int crashes)
        : random_(seed)
    {
        restart(0);
        restart(1);
        const Interval span = lifetime * std::max(1, operations / 15);
        for (int i = 0; i < operations; ++i)
            schedule_.after(upTo(span), [this, i] { startCaller("request " + std::to_string(i)); });
        for (int i = 0; i < crashes; ++i)
            schedule_.after(upTo(span), [this] { restart(below(2)); });
        schedule_.runUntil(schedule_.now() + span + 4 * lifetime);
    }

    const History &history() const { return history_; }
    int refusedForMemory() const { return refusedForMemory_; }
    int replays() const { return replays_; }
    int waits() const { return waits_; }

private:
    struct Node
    {
        std::unique_ptr<OperationTable> table;
        int run = 0; ///< Number of restarts; work of an earlier run has no effect.
        std::map<WaitTicket, std::pair<std::string, std::string>> waiting;
    };
    struct Copy
    {
        std::string id;
        TeamId team;
        std::string request;
        bool forwarded = false;
    };

    int below(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }
    bool percent(int chance) { return below(100) < chance; }
    Interval upTo(Interval limit) { return Interval(random_() % limit.count()); }
    static Address address(int node) { return Address(node == 0 ? "10.0.0.1:80" : "10.0.0.2:80"); }

    void restart(int node)
    {
        OperationSettings settings;
        settings.lifetime = lifetime;
        settings.maxRecords = 24;
        settings.maxResponseBytes = 300;
        settings.maxKeptBytes = 2'400;
        settings.maxWaiters = 2;
        ++nodes_[node].run;
        nodes_[node].waiting.clear();
        nodes_[node].table = std::make_unique<OperationTable>(
            Incarnation(random_() | 1), address(node), std::to_string(random_()), settings);
    }

    void startCaller(const std::string &request)
    {
        const TeamId team("team");
        const auto issued = nodes_[below(2)].table->issue(team, schedule_.now());
        if (!issued)
            return;
        history_.issued(issued.value()->id);
        for (int copies = 1 + below(5); copies > 0; --copies) {
            Copy copy { issued.value()->id, team, request };
            if (percent(5))
                copy.request += " altered";
            if (percent(3))
                copy.team = TeamId("other");
            // Many copies arrive close to the deadline.
            const Interval delay = percent(30) ? lifetime + upTo(lifetime / 50) - lifetime / 100
                                               : upTo(lifetime + lifetime / 4);
            send(copy, below(2), percent(50) ? upTo(delay + Interval(1)) / 20 : delay);
        }
    }

    void send(const Copy &copy, int node, Interval delay)
    {
        if (percent(10))
            return;
        if (percent(10))
            schedule_.after(delay + upTo(lifetime), [=, this] { arrive(copy, node); });
        schedule_.after(delay, [=, this] { arrive(copy, node); });
    }

    void arrive(const Copy &copy, int node)
    {
        const auto decision = nodes_[node].table->begin(
            copy.id, copy.team, requestDigest(copy.request), schedule_.now());
        const std::string request = copy.team.value() + ' ' + copy.request;
        if (const auto *run = std::get_if<RunOperation>(&decision)) {
            start(copy.id, request, node, run->handle);
        } else if (const auto *wait = std::get_if<WaitForRunningCopy>(&decision)) {
            ++waits_;
            nodes_[node].waiting[wait->ticket] = { copy.id, request };
        } else if (const auto *replay = std::get_if<Replay>(&decision)) {
            ++replays_;
            history_.answered(copy.id, request, replay->outcome,
                replay->response ? &replay->response->body : nullptr);
        } else if (const auto *pass = std::get_if<ForwardToIssuer>(&decision)) {
            if (copy.forwarded)
                return history_.answered(copy.id, request, Outcome::Unknown, nullptr);
            send({ copy.id, copy.team, copy.request, true }, pass->address == address(0) ? 0 : 1,
                upTo(std::chrono::milliseconds(50)));
        } else {
            const auto refusal = std::get<RefuseOperation>(decision);
            refusedForMemory_ += refusal.reason == OperationRefusal::MemoryFull ? 1 : 0;
            history_.answered(copy.id, request, refusal.outcome, nullptr);
        }
    }

    static std::string requestDigest(const std::string &request) { return "digest of " + request; }

    void start(const std::string &id, const std::string &request, int node, OperationHandle handle)
    {
        const int run = nodes_[node].run;
        const auto end = [=, this](Outcome outcome, const std::string &body) {
            if (nodes_[node].run == run)
                finish(id, request, node, handle, outcome, body);
        };
        const Interval queued = upTo(std::chrono::milliseconds(300));
        if (percent(15)) {
            schedule_.after(queued, [=] { end(Outcome::NotRun, "refused"); });
            return;
        }
        schedule_.after(queued, [=, this] {
            // A crashed instance sends no requests.
            if (nodes_[node].run != run)
                return;
            const std::string body
                = "answer to " + request + std::string(percent(10) ? 400 : 0, 'x');
            history_.ran(id, request, body);
            if (percent(15))
                schedule_.after(lifetime, [=] { end(Outcome::Unknown, "lost"); });
            else
                schedule_.after(upTo(lifetime / 3), [=] { end(Outcome::Done, body); });
        });
    }

    void finish(const std::string &id, const std::string &request, int node, OperationHandle handle,
        Outcome outcome, const std::string &body)
    {
        const auto finished
            = nodes_[node].table->finish(handle, outcome, { 200, {}, body }, schedule_.now());
        if (!finished)
            return;
        history_.answered(id, request, outcome, &finished.value()->response->body);
        for (const auto &ticket : finished.value()->waiters) {
            const auto waiting = nodes_[node].waiting.extract(ticket);
            if (waiting)
                history_.answered(waiting.mapped().first, waiting.mapped().second, outcome,
                    &finished.value()->response->body);
        }
    }

    std::mt19937_64 random_;
    Schedule schedule_;
    Node nodes_[2];
    History history_;
    int refusedForMemory_ = 0;
    int replays_ = 0;
    int waits_ = 0;
};

} // namespace endivequay::test

#endif
