// Reads and writes of the store and the platform's membership list.

#include "endivequay/upstreamclient.h"
#include "node.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace endivequay {

namespace {

using namespace std::chrono_literals;

constexpr Interval readPeriod = 1s;
// A store that answers within this time is slow, not silent. Confirmations count from the start of
// a read, so an answer that took this long still serves keyed routes for the rest of their 4 s.
constexpr Interval readLimit = 2s;
constexpr Interval ledgerReadLimit = 800ms;
constexpr Interval snapshotLimit = 10s;
constexpr Interval writeLimit = 2s;
// Bounds how long a silent connection of a watch is trusted; the head is read every second anyway.
constexpr Interval watchLimit = 60s;
constexpr Interval listPeriod = 2s;
// A new member gets cells when its definitions have taken effect, or the cells would lie idle.
constexpr Interval newMemberWait = slotRaiseDelay + 1s;

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

std::optional<std::vector<ListedInstance>> parseList(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_array())
        return std::nullopt;
    std::vector<ListedInstance> instances;
    for (const auto &entry : json) {
        if (!entry.is_object() || !entry.contains("address") || !entry["address"].is_string()
            || !entry.contains("failure_domain") || !entry["failure_domain"].is_string())
            return std::nullopt;
        instances.push_back({ Address(entry["address"]), FailureDomainId(entry["failure_domain"]),
            entry.value("state", "live") == "leaving" });
    }
    return instances;
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
                nextRead = clock_.now() + (storeSilent_ ? readPeriod / 2 : readPeriod);
                readConfiguration(clock_.now());
            }
            runKeeper();
        } else if (watching_) {
            watch_.stop();
            watching_ = false;
        }
        std::unique_lock lock(storeMutex_);
        storeWake_.wait_for(lock, stop, storeSilent_ ? readPeriod / 2 : readPeriod,
            [this] { return storeWanted_; });
        storeWanted_ = false;
    }
}

void Node::readConfiguration(Instant now)
{
    const auto head = configStore_.readHead(now + readLimit);
    if (!head) {
        silent(now);
        return;
    }
    if (storeSilent_)
        timeline_.record(EventId::StoreAnswered);
    storeSilent_ = false;
    storeAnsweredUntil_ = now + 2 * readPeriod;
    Revision own;
    {
        const std::lock_guard lock(tables_.config.mutex);
        tables_.config.freshness.storeAnswered(now, head->revision);
        tables_.config.source.clear();
        own = tables_.config.log.revision();
    }
    metrics_.count("endivequay_store_reads_total", "kind=\"head\"");
    if (!watching_)
        startWatch();
    // The watch delivers changes; a snapshot is read at the start and when the watch has a gap.
    if (head->revision <= own)
        return;
    std::this_thread::sleep_for(own == Revision(0) ? 0ms : 50ms);
    {
        const std::lock_guard lock(tables_.config.mutex);
        own = tables_.config.log.revision();
    }
    if (head->revision <= own)
        return;
    const auto snapshot = configStore_.readDocuments(clock_.now() + snapshotLimit);
    if (snapshot)
        configWorker_->tryRun([this, snapshot = *snapshot] { applySnapshot(snapshot); });
    watching_ = false;
}

void Node::silent(Instant readStarted)
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
    watch_ = configStore_.watchChanges(Revision(from.value() + 1), clock_.now() + watchLimit,
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
    // Each version takes effect by itself, because limits depend on the order of the versions.
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
        // A ledger without owners means a new deployment: no older definition can be in use.
        const std::lock_guard lock(tables_.shares.mutex);
        const bool first = previous == nullptr && tables_.shares.ledgers.contains(identity_.domain)
            && tables_.shares.own.owner().ledger().owners().empty();
        tables_.shares.own.define((*view)->resources, now, first ? RaiseRule::Immediate : rule);
    }
    view_.store(*view);
    {
        // Confirmations of a revision count from the moment at which it is in force.
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
    const auto value = configStore_.readLedger(identity_.domain, started + ledgerReadLimit);
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
            shares.own.applyLedger(snapshot, readStarted, now);
            if (changed)
                owned = shares.own.owner().usableCells(now).count();
        } else if (changed) {
            shares.own.setOtherOwners(otherOwners());
        }
    }
    tables_.shares.changed.notify_all();
    if (owned)
        timeline_.record(EventId::CellsOwned,
            { { "cells", std::to_string(*owned) },
                { "ledger", std::to_string(snapshot.revision.value()) } });
}

std::vector<DomainOwners> Node::otherOwners()
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

void Node::runKeeper()
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
        const CellLedger &ledger = shares.own.owner().ledger();
        shares.firstHeardAt.emplace(identity_.incarnation, now);
        for (LedgerMember &member : members) {
            const auto since = shares.firstHeardAt.find(member.incarnation);
            const bool settled
                = since != shares.firstHeardAt.end() && since->second + newMemberWait <= now;
            const bool owner = ledger.owners().contains(member.incarnation);
            if (!settled && !owner && !ledger.owners().empty())
                member.leaving = true;
        }
        actions = shares.keeper.tick(now, members, shares.list);
    }
    send(actions.messages);
    if (!actions.write)
        return;
    const auto result = configStore_.writeLedger(identity_.domain, actions.write->basedOn,
        actions.write->ledger.toJson(), clock_.now() + writeLimit);
    metrics_.count("endivequay_store_writes_total", "kind=\"ledger\"");
    if (result.outcome == WriteOutcome::Conflict)
        timeline_.record(EventId::LedgerConflict);
    readLedger();
}

void Node::listLoop(const std::stop_token &stop)
{
    UpstreamClient client;
    std::mutex mutex;
    std::condition_variable_any wake;
    while (!stop.stop_requested()) {
        UpstreamRequest request;
        request.address = *settings_.list;
        request.method = "GET";
        request.path = "/instances";
        request.kind = RequestKind::Idempotent;
        request.deadline = clock_.now() + listPeriod;
        request.cancelled = stop;
        const Instant now = clock_.now();
        const auto response = client.send(request);
        const auto instances = response.outcome == UpstreamOutcome::Answered
            ? parseList(response.body)
            : std::nullopt;
        if (instances) {
            {
                const std::lock_guard lock(tables_.members.mutex);
                tables_.members.view.setListedInstances(*instances, now);
            }
            PlatformList list { {}, now };
            for (const ListedInstance &instance : *instances) {
                if (instance.domain == identity_.domain)
                    list.addresses.insert(instance.address);
            }
            const std::lock_guard lock(tables_.shares.mutex);
            tables_.shares.list = std::move(list);
        }
        std::unique_lock lock(mutex);
        wake.wait_for(lock, stop, listPeriod, [] { return false; });
    }
}

} // namespace endivequay
