#include "node.h"

#include "endivequay/codec.h"

#include <fmt/format.h>

#include <algorithm>

// Pulls configuration and ledgers from peers.
namespace endivequay {

namespace {

using namespace std::chrono_literals;

constexpr Interval pullPeriod = 250ms;
constexpr Interval ledgerPullPeriod = 1s;
// Every 10th pull lists all known ledgers (about 2.5 KB for 98) and refreshes those of other
// domains, which may be that many pulls old.
constexpr std::size_t pullsPerFullLedgerList = 10;

} // namespace

void Node::tickPull(Instant now)
{
    if (now < nextPull_)
        return;
    nextPull_ = now + pullPeriod;
    std::vector<SyncCandidate> candidates;
    if (now < storeReachableUntil_.load())
        return;
    {
        const std::lock_guard lock(tables_.members.mutex);
        candidates = tables_.members.view.syncCandidates();
    }
    ConfigPull pull;
    std::optional<Incarnation> source;
    std::optional<Incarnation> before;
    {
        const std::lock_guard lock(tables_.config.mutex);
        Tables::Config &config = tables_.config;
        before = config.source.current();
        source = config.source.choose(
            { identity_.incarnation, config.log.revision(), config.freshness.confirmedAsOf() },
            candidates, now);
        pull.revision = config.log.revision();
        pull.cursor = config.log.cursor();
        if (source)
            config.source.pullSent(now);
    }
    if (source != before)
        timeline_.record(
            EventId::ConfigSourceChanged, { { "source", source ? toText(*source) : "none" } });
    if (!source)
        return;
    {
        const std::lock_guard lock(pullMutex_);
        pull.number = ++lastPullNumber_;
        std::erase_if(
            pendingPulls_, [&](const auto &entry) { return entry.second.sentAt + 10s < now; });
        pendingPulls_[pull.number] = { *source, now };
    }
    if (const auto address = addressOf(*source))
        sendTo(*address, pull);
}

void Node::tickLedgerPull(Instant now)
{
    if (now < nextLedgerPull_)
        return;
    nextLedgerPull_ = now + ledgerPullPeriod;
    std::vector<Address> targets;
    {
        const std::lock_guard lock(tables_.members.mutex);
        const Membership &view = tables_.members.view;
        // A reader has its own domain's ledger from the store and pulls those of other domains from
        // peers. Other instances pull from the readers of their domain.
        if (!view.isReader()) {
            for (const Incarnation &reader : view.readers(identity_.domain)) {
                if (const Member *member = view.find(reader))
                    targets.push_back(member->identity.address);
            }
        } else {
            targets = view.peersToConnect();
        }
    }
    if (targets.empty())
        return;
    LedgerPull pull;
    pull.incarnation = identity_.incarnation;
    pull.domain = identity_.domain;
    {
        const std::lock_guard lock(tables_.shares.mutex);
        const auto &ledgers = tables_.shares.ledgers;
        pull.all = ledgers.size() <= 1 || ledgerPullCount_ % pullsPerFullLedgerList == 0;
        for (const auto &[domain, known] : ledgers) {
            if (pull.all || domain == identity_.domain)
                pull.known.push_back({ domain, known.first.revision });
        }
    }
    {
        const std::lock_guard lock(pullMutex_);
        pull.number = ++lastPullNumber_;
        pendingPulls_[pull.number] = { Incarnation(), now };
    }
    sendTo(targets[ledgerPullCount_++ % targets.size()], pull);
}

} // namespace endivequay
