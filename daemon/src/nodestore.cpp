// Access to the store and to the platform's membership list.

#include "endivequay/upstreamclient.h"
#include "membershiplist.h"
#include "node.h"

#include <fmt/format.h>

#include <algorithm>

namespace endivequay {

namespace {

using namespace std::chrono_literals;

constexpr Interval headReadPeriod = 1s;
// A store that answers within this time counts as slow, not as unresponsive. Confirmations are
// dated to the start of a read, so a reply that took this long still allows keyed routes for the
// rest of their 4 s.
constexpr Interval headReadTimeout = 2s;
constexpr Interval ledgerReadTimeout = 800ms;
constexpr Interval snapshotReadTimeout = 10s;
constexpr Interval ledgerWriteTimeout = 2s;
// Limits how long a watch on an unresponsive connection is relied on; the head is read every
// second in any case.
constexpr Interval watchTimeout = 60s;
constexpr Interval listPeriod = 2s;
// A new member is assigned cells only after its definitions have taken effect; earlier the cells
// would be unused.
constexpr Interval newMemberDelay = slotRaiseDelay + 1s;

std::vector<std::pair<std::string, DocumentText>> putsOf(const DocumentEdits &edits)
{
    std::vector<std::pair<std::string, DocumentText>> puts;
    for (const auto &[name, text] : edits) {
        if (text)
            puts.emplace_back(name, std::make_shared<const std::string>(*text));
    }
    return puts;
}

std::vector<std::string> deletesOf(const DocumentEdits &edits)
{
    std::vector<std::string> deletes;
    for (const auto &[name, text] : edits) {
        if (!text)
            deletes.push_back(name);
    }
    return deletes;
}

} // namespace

void Node::storeLoop(const std::stop_token &stop)
{
    Instant nextRead;
    while (!stop.stop_requested()) {
        bool reader = false;
        {
            const std::lock_guard lock(tables_.members.mutex);
            reader = tables_.members.view.isReader();
        }
        if (reader) {
            if (!storeSilent_)
                readLedger();
            if (clock_.now() >= nextRead) {
                nextRead = clock_.now() + (storeSilent_ ? headReadPeriod / 2 : headReadPeriod);
                readConfiguration(clock_.now());
            }
            updateLedger();
        } else if (watching_) {
            watch_.stop();
            watching_ = false;
        }
        std::unique_lock lock(storeMutex_);
        storeThreadWake_.wait_for(lock, stop, storeSilent_ ? headReadPeriod / 2 : headReadPeriod,
            [this] { return storeRunRequested_; });
        storeRunRequested_ = false;
    }
}

void Node::readConfiguration(Instant now)
{
    const auto head = configStore_.readHead(now + headReadTimeout);
    if (!head) {
        onStoreReadFailed(now);
        return;
    }
    if (storeSilent_)
        timeline_.record(EventId::StoreAnswered);
    storeSilent_ = false;
    storeReachableUntil_ = now + 2 * headReadPeriod;
    Revision localRevision;
    {
        const std::lock_guard lock(tables_.config.mutex);
        tables_.config.freshness.storeAnswered(now, head->revision);
        tables_.config.source.clear();
        localRevision = tables_.config.log.revision();
    }
    metrics_.count("endivequay_store_reads_total", "kind=\"head\"");
    if (!watching_)
        startWatch();
    // The watch delivers changes. A snapshot is read only at the start and after a gap in the
    // watch.
    if (head->revision <= localRevision)
        return;
    std::this_thread::sleep_for(localRevision == Revision(0) ? 0ms : 50ms);
    {
        const std::lock_guard lock(tables_.config.mutex);
        localRevision = tables_.config.log.revision();
    }
    if (head->revision <= localRevision)
        return;
    const auto snapshot = configStore_.readDocuments(clock_.now() + snapshotReadTimeout);
    if (snapshot)
        configWorker_->tryRun([this, snapshot = *snapshot] { applySnapshot(snapshot); });
    watching_ = false;
}

void Node::onStoreReadFailed(Instant readStarted)
{
    if (!storeSilent_)
        timeline_.record(EventId::StoreSilent);
    storeSilent_ = true;
    if (!inStoreRegion())
        return;
    const std::lock_guard lock(tables_.config.mutex);
    tables_.config.freshness.storeFailed(identity_.incarnation, readStarted);
}

void Node::startWatch()
{
    Revision from;
    {
        const std::lock_guard lock(tables_.config.mutex);
        from = tables_.config.log.revision();
    }
    if (from == Revision(0))
        return;
    watching_ = true;
    watch_ = configStore_.watchChanges(Revision(from.value() + 1), clock_.now() + watchTimeout,
        [this, previous = from](const ConfigWatchMessage &message) mutable {
            ConfigDelta delta;
            for (const AcceptedChange &change : message.changes) {
                delta.changes.push_back({ change.head.revision, previous, change.head.change,
                    putsOf(change.edits), deletesOf(change.edits) });
                previous = change.head.revision;
            }
            if (!delta.changes.empty())
                configWorker_->tryRun([this, delta] { applyUpdate(delta); });
            if (message.ended)
                watching_ = false;
        });
}

void Node::applySnapshot(const ConfigSnapshot &snapshot)
{
    SharedDocuments documents;
    for (const auto &[name, text] : snapshot.documents)
        documents.emplace(name, std::make_shared<const std::string>(text));
    ApplyResult result = ApplyResult::AlreadyKnown;
    {
        const std::lock_guard lock(tables_.config.mutex);
        result = tables_.config.log.applySnapshot(
            snapshot.head.revision, snapshot.head.change, std::move(documents));
    }
    if (result == ApplyResult::Applied)
        rebuildView(RaiseRule::AfterGap);
}

void Node::applyUpdate(const ConfigUpdate &update)
{
    const auto apply = [this](const ConfigUpdate &part, RaiseRule rule) {
        ApplyResult result = ApplyResult::AlreadyKnown;
        {
            const std::lock_guard lock(tables_.config.mutex);
            result = tables_.config.log.applyUpdate(part);
        }
        if (result == ApplyResult::Applied)
            rebuildView(rule);
    };
    const auto *delta = std::get_if<ConfigDelta>(&update);
    if (delta == nullptr) {
        apply(update, RaiseRule::AfterGap);
        return;
    }
    // Versions are applied one by one, because limits depend on their order.
    for (const LoggedChange &change : delta->changes)
        apply(ConfigDelta { { change } }, RaiseRule::Delayed);
}

void Node::rebuildView(RaiseRule rule)
{
    SharedDocuments documents;
    SharedDocuments before;
    Revision revision;
    ChangeId change;
    {
        const std::lock_guard lock(tables_.config.mutex);
        documents = tables_.config.log.documents();
        before = tables_.config.appliedDocuments;
        revision = tables_.config.log.revision();
        change = tables_.config.log.change();
    }
    const auto previous = view_.load();
    const Instant now = clock_.now();
    auto view = makeConfigView(documents, revision, before, previous.get(), now);
    if (!view) {
        timeline_.record(EventId::ConfigRejected,
            { { "revision", std::to_string(revision.value()) }, { "change", change.value() },
                { "reason", toString(view.lastReason()) } });
        return;
    }
    std::map<FailureDomainId, RegionId> regions;
    for (const FailureDomain &domain : (*view)->configuration->domains())
        regions.emplace(domain.id, domain.region);
    {
        const std::lock_guard lock(tables_.members.mutex);
        tables_.members.view.setRegions(std::move(regions));
    }
    {
        // A ledger without owners belongs to a new deployment, where no older definition is in use.
        const std::lock_guard lock(tables_.shares.mutex);
        const bool first = previous == nullptr && tables_.shares.ledgers.contains(identity_.domain)
            && tables_.shares.local.owner().ledger().owners().empty();
        tables_.shares.local.define((*view)->resources, now, first ? RaiseRule::Immediate : rule);
    }
    view_.store(*view);
    {
        // Confirmations of a revision count only once it is in force.
        const std::lock_guard lock(tables_.config.mutex);
        tables_.config.appliedDocuments = std::move(documents);
        tables_.config.freshness.applied(revision);
    }
    tables_.shares.changed.notify_all();
    timeline_.record(EventId::ConfigApplied,
        { { "revision", std::to_string(revision.value()) }, { "change", change.value() } });
    metrics_.set("endivequay_config_revision", "", static_cast<double>(revision.value()));
}

void Node::readLedger()
{
    const Instant started = clock_.now();
    const auto value = configStore_.readLedger(identity_.domain, started + ledgerReadTimeout);
    metrics_.count("endivequay_store_reads_total", "kind=\"ledger\"");
    if (!value)
        return;
    LedgerSnapshot snapshot { value->revision, CellLedger(identity_.domain) };
    if (!value->text.empty()) {
        auto ledger = CellLedger::fromJson(value->text);
        if (!ledger) {
            timeline_.record(
                EventId::ConfigRejected, { { "reason", toString(ledger.lastReason()) } });
            return;
        }
        snapshot.ledger = *std::move(ledger);
    }
    applyLedger(snapshot, started);
}

void Node::applyLedger(const LedgerSnapshot &snapshot, Instant readStarted)
{
    const Instant now = clock_.now();
    std::optional<std::size_t> owned;
    {
        const std::lock_guard lock(tables_.shares.mutex);
        Tables::Shares &shares = tables_.shares;
        auto &known = shares.ledgers[snapshot.ledger.domain()];
        if (snapshot.revision < known.first.revision)
            return;
        const bool changed = snapshot.revision != known.first.revision;
        known = { snapshot, std::max(known.second, readStarted) };
        if (snapshot.ledger.domain() == identity_.domain) {
            shares.keeper.applyLedger(snapshot);
            shares.local.applyLedger(snapshot, readStarted, now);
            if (changed)
                owned = shares.local.owner().usableCells(now).count();
        } else if (changed) {
            shares.local.setOtherOwners(ownersInOtherDomains());
        }
    }
    tables_.shares.changed.notify_all();
    if (owned)
        timeline_.record(EventId::CellsOwned,
            { { "cells", std::to_string(*owned) },
                { "ledger", std::to_string(snapshot.revision.value()) } });
}

std::vector<DomainOwners> Node::ownersInOtherDomains()
{
    std::vector<DomainOwners> owners;
    for (const auto &[domain, known] : tables_.shares.ledgers) {
        if (domain != identity_.domain)
            owners.push_back({ domain, known.first.ledger });
    }
    if (const auto view = view_.load())
        std::ranges::stable_sort(owners, {}, [&](const DomainOwners &entry) {
            return view->configuration->delay(identity_.domain, entry.domain);
        });
    return owners;
}

std::vector<LedgerMember> Node::ledgerMembers(Instant now)
{
    std::vector<LedgerMember> members { { identity_.incarnation, identity_.address, now,
        leaving_ } };
    const std::lock_guard lock(tables_.members.mutex);
    for (const Member *member : tables_.members.view.membersOf(identity_.domain)) {
        if (member->heardAt)
            members.push_back({ member->identity.incarnation, member->identity.address,
                *member->heardAt, member->state == MemberState::Leaving });
    }
    return members;
}

void Node::updateLedger()
{
    const auto view = view_.load();
    if (!view || view->configuration->domain(identity_.domain) == nullptr)
        return;
    const Instant now = clock_.now();
    auto members = ledgerMembers(now);
    KeeperActions actions;
    {
        const std::lock_guard lock(tables_.shares.mutex);
        Tables::Shares &shares = tables_.shares;
        const CellLedger &ledger = shares.local.owner().ledger();
        shares.firstSeenAt.emplace(identity_.incarnation, now);
        for (LedgerMember &member : members) {
            const auto since = shares.firstSeenAt.find(member.incarnation);
            const bool settled
                = since != shares.firstSeenAt.end() && since->second + newMemberDelay <= now;
            const bool owner = ledger.owners().contains(member.incarnation);
            if (!settled && !owner && !ledger.owners().empty())
                member.leaving = true;
        }
        actions = shares.keeper.tick(now, members, shares.platformList);
    }
    send(actions.messages);
    if (!actions.write)
        return;
    const auto result = configStore_.writeLedger(identity_.domain, actions.write->basedOn,
        actions.write->ledger.toJson(), clock_.now() + ledgerWriteTimeout);
    metrics_.count("endivequay_store_writes_total", "kind=\"ledger\"");
    if (result.outcome == WriteOutcome::Conflict)
        timeline_.record(EventId::LedgerConflict);
    readLedger();
}

void Node::membershipListLoop(const std::stop_token &stop)
{
    UpstreamClient client;
    std::mutex mutex;
    std::condition_variable_any wake;
    std::string rejectedBefore;
    // The list is read every two seconds; an error is reported when it first occurs.
    const auto recordRejected = [&](const std::vector<Error> &errors) {
        std::string rejected;
        for (const Error &error : errors)
            rejected += error.peer + ": " + error.reason + '\n';
        if (rejected != rejectedBefore)
            for (const Error &error : errors)
                timeline_.record(EventId::EntryRejected,
                    { { "step", error.step }, { "entry", error.peer },
                        { "reason", error.reason } });
        rejectedBefore = std::move(rejected);
    };
    while (!stop.stop_requested()) {
        UpstreamRequest request;
        request.address = *settings_.membershipList;
        request.method = "GET";
        request.path = "/instances";
        request.kind = RequestKind::Idempotent;
        request.deadline = clock_.now() + listPeriod;
        request.cancelled = stop;
        const Instant now = clock_.now();
        const auto response = client.send(request);
        const auto listed = response.outcome == UpstreamOutcome::Answered
            ? parseMembershipList(response.body)
            : Result<MembershipList>(response.reason);
        recordRejected(listed ? listed->rejected : std::vector { listed.lastReason() });
        if (listed) {
            {
                const std::lock_guard lock(tables_.members.mutex);
                tables_.members.view.setListedInstances(listed->instances, now);
            }
            PlatformList list { {}, now };
            for (const ListedInstance &instance : listed->instances) {
                if (instance.domain == identity_.domain)
                    list.addresses.insert(instance.address);
            }
            const std::lock_guard lock(tables_.shares.mutex);
            tables_.shares.platformList = std::move(list);
        }
        std::unique_lock lock(mutex);
        wake.wait_for(lock, stop, listPeriod, [] { return false; });
    }
}

} // namespace endivequay
