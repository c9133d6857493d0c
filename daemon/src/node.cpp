#include "node.h"

#include "endivequay/codec.h"
#include "endivequay/digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace endivequay {

namespace {

using namespace std::chrono_literals;

constexpr Interval controlPeriod = 50ms;
constexpr Interval heartbeatPeriod = 1s;
constexpr Interval steeringPeriod = 250ms;
// An on-demand link is closed after this time without use.
constexpr Interval onDemandLinkIdleTimeout = 60s;
// A link that is not open after this time has failed, and another peer is tried.
constexpr Interval linkOpenTimeout = 3s;

std::uint64_t startMicros()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

EventId eventOf(MemberEvent::Kind kind)
{
    switch (kind) {
    case MemberEvent::Kind::Joined:
    case MemberEvent::Kind::Replaced:
        return EventId::PeerJoined;
    case MemberEvent::Kind::Suspected:
        return EventId::PeerSuspected;
    case MemberEvent::Kind::Recovered:
        return EventId::PeerRecovered;
    case MemberEvent::Kind::Left:
        break;
    }
    return EventId::PeerLeft;
}

} // namespace

std::string toText(const Incarnation &incarnation)
{
    return fmt::format("{:016x}", incarnation.value());
}

Node::Node(const Settings &settings, Timeline &timeline, Metrics &metrics, MemberIdentity identity,
    EtcdStore store)
    : settings_(settings)
    , timeline_(timeline)
    , metrics_(metrics)
    , identity_(std::move(identity))
    , tables_(identity_, randomBytes(32), clock_.now())
    , store_(std::move(store))
    , configStore_(store_)
    , configWorker_(std::make_unique<WorkerPool>(1, 10'000))
{
    steering_.store(std::make_shared<const SteeringMap>());
}

Result<std::unique_ptr<Node>> Node::start(
    const Settings &settings, Timeline &timeline, Metrics &metrics)
{
    auto store = EtcdStore::create({ settings.storeEndpoints });
    if (!store)
        return store.lastReason();
    MemberIdentity identity { Incarnation(randomNonZero64()), startMicros(), settings.advertise,
        settings.failureDomain };
    std::unique_ptr<Node> node(
        new Node(settings, timeline, metrics, std::move(identity), *std::move(store)));

    PeerLinkSettings linkSettings;
    linkSettings.listenAddress = peerAddressOf(settings.listen).value();
    linkSettings.advertisedAddress = peerAddressOf(settings.advertise).value();
    linkSettings.cluster = settings.cluster;
    linkSettings.secret = settings.secret;
    linkSettings.incarnation = node->identity_.incarnation.value();
    linkSettings.maxMessageBytes = maxMessageBytes;
    PeerLinkHandlers handlers;
    handlers.connected = [raw = node.get()](const auto &peer) { raw->onConnected(peer); };
    handlers.disconnected = [raw = node.get()](const auto &peer) { raw->onDisconnected(peer); };
    handlers.message
        = [raw = node.get()](const auto &peer, const auto &bytes) { raw->onBytes(peer, bytes); };
    handlers.rejected = [raw = node.get()](const auto &peer, const auto &reason) {
        raw->onRejected(peer, reason);
    };
    // The handlers use links_ and lock this mutex, so they wait until links_ is set.
    const std::lock_guard guard(node->linkMutex_);
    std::string error;
    node->links_ = PeerLinks::start(linkSettings, handlers, &error);
    if (!node->links_)
        return Error { "peers.listen", linkSettings.listenAddress, error };
    Node *raw = node.get();
    node->controlThread_ = std::jthread([raw](const auto &stop) { raw->controlLoop(stop); });
    node->storeThread_ = std::jthread([raw](const auto &stop) { raw->storeLoop(stop); });
    if (settings.membershipList)
        node->listThread_
            = std::jthread([raw](const auto &stop) { raw->membershipListLoop(stop); });
    return node;
}

Node::~Node()
{
    listThread_ = {};
    controlThread_ = {};
    storeThread_ = {};
    watch_.stop();
    if (links_)
        links_->stop();
    configWorker_.reset();
}

void Node::setLoad(const LoadSummary &load)
{
    const std::lock_guard lock(loadMutex_);
    load_ = load;
}

void Node::controlLoop(const std::stop_token &stop)
{
    Instant last = clock_.now();
    while (!stop.stop_requested()) {
        const Instant now = clock_.now();
        if (now - last >= maxPauseDuration)
            timeline_.record(EventId::PauseDetected,
                { { "seconds", fmt::format("{:.1f}", toSeconds(now - last)) } });
        last = now;
        tickMembership(now);
        tickFreshness(now);
        tickHeartbeats(now);
        tickPull(now);
        tickLedgerPull(now);
        tickShares(now);
        tickSteering(now);
        std::this_thread::sleep_for(controlPeriod);
    }
}

void Node::tickMembership(Instant now)
{
    std::vector<Address> wanted;
    std::vector<Address> silent;
    std::vector<MemberEvent> events;
    std::set<Incarnation> suspects;
    {
        const std::lock_guard lock(tables_.members.mutex);
        Membership &view = tables_.members.view;
        view.tick(now);
        wanted = view.peersToConnect();
        silent = view.silentLinks(now);
        events = view.takeEvents();
        for (const Member *member : view.members()) {
            if (!member->usable())
                suspects.insert(member->identity.incarnation);
        }
    }
    logMemberEvents(events);
    {
        const std::lock_guard lock(tables_.shares.mutex);
        tables_.shares.local.setSuspects(suspects);
    }
    std::vector<Address> unused;
    {
        const std::lock_guard lock(linkMutex_);
        persistentLinks_ = { wanted.begin(), wanted.end() };
        for (const auto &[address, usedAt] : openLinks_) {
            if (!persistentLinks_.contains(address) && usedAt + onDemandLinkIdleTimeout < now)
                unused.push_back(address);
        }
    }
    for (const Address &address : wanted)
        links_->connect(peerAddressOf(address).value());
    for (const Address &address : silent) {
        timeline_.record(EventId::PeerConnectionReplaced, { { "peer", address.value() } });
        links_->replace(peerAddressOf(address).value());
    }
    std::vector<Address> failed = failedLinks(wanted, now);
    failed.insert(failed.end(), silent.begin(), silent.end());
    {
        const std::lock_guard lock(tables_.members.mutex);
        for (const Address &address : failed)
            tables_.members.view.linkFailed(address, now);
        for (const Address &address : unused)
            tables_.members.view.linkReleased(address);
    }
    for (const Address &address : unused)
        links_->drop(peerAddressOf(address).value());
}

std::vector<Address> Node::failedLinks(const std::vector<Address> &wanted, Instant now)
{
    const std::lock_guard lock(linkMutex_);
    std::erase_if(linkDownSince_, [&](const auto &entry) {
        return openLinks_.contains(entry.first)
            || std::ranges::find(wanted, entry.first) == wanted.end();
    });
    std::vector<Address> failed;
    for (const Address &address : wanted) {
        if (openLinks_.contains(address))
            continue;
        Instant &since = linkDownSince_.try_emplace(address, now).first->second;
        if (since + linkOpenTimeout > now)
            continue;
        failed.push_back(address);
        since = now;
    }
    return failed;
}

void Node::logMemberEvents(const std::vector<MemberEvent> &events)
{
    for (const MemberEvent &event : events)
        timeline_.record(eventOf(event.kind),
            { { "peer", event.identity.address.value() },
                { "incarnation", toText(event.identity.incarnation) },
                { "domain", event.identity.domain.value() } });
}

void Node::tickFreshness(Instant now)
{
    std::set<Incarnation> readers;
    const bool storeRegion = inStoreRegion();
    if (storeRegion) {
        const std::lock_guard lock(tables_.members.mutex);
        const Membership &view = tables_.members.view;
        readers = view.readersOf(*view.regionOf(identity_.domain));
    }
    std::optional<FreshnessState> change;
    {
        const std::lock_guard lock(tables_.config.mutex);
        if (storeRegion)
            tables_.config.freshness.confirmByStoreSilence(readers, now);
        change = tables_.config.freshness.stateChange(now);
    }
    if (!change)
        return;
    switch (*change) {
    case FreshnessState::Confirmed:
        timeline_.record(EventId::ConfigConfirmed);
        break;
    case FreshnessState::StoreSilent:
        timeline_.record(EventId::ConfigConfirmed, { { "by", "agreed store silence" } });
        break;
    case FreshnessState::Stale:
    case FreshnessState::Unconfirmed:
        timeline_.record(EventId::ConfigStale);
        break;
    }
}

void Node::tickHeartbeats(Instant now)
{
    if (now < nextHeartbeat_)
        return;
    Heartbeat heartbeat;
    {
        // Heartbeat echoes carry silence reports, so heartbeats are sent twice as often while
        // there are any: reports must arrive twice within their maximum age.
        const std::lock_guard lock(tables_.config.mutex);
        const bool silent = !tables_.config.freshness.silences(now).empty();
        nextHeartbeat_ = now + (silent ? heartbeatPeriod / 2 : heartbeatPeriod);
    }
    heartbeat.time = timeline_.sendTime();
    heartbeat.incarnation = identity_.incarnation;
    heartbeat.sequence = ++heartbeatSequence_;
    heartbeat.state = leaving_ ? MemberState::Leaving : MemberState::Serving;
    {
        const std::lock_guard lock(tables_.config.mutex);
        heartbeat.revision = tables_.config.log.revision();
        heartbeat.confirmedAge = tables_.config.freshness.age(now);
        heartbeat.syncPath = tables_.config.source.path();
    }
    {
        const std::lock_guard lock(loadMutex_);
        heartbeat.load = load_;
    }
    std::vector<Address> targets;
    {
        const std::lock_guard lock(linkMutex_);
        for (const auto &[address, usedAt] : openLinks_)
            targets.push_back(address);
    }
    for (const Address &target : targets) {
        sendTo(target, heartbeat);
        MemberDigest digest;
        {
            const std::lock_guard lock(tables_.members.mutex);
            digest = tables_.members.view.digestFor(target, now);
        }
        if (!digest.entries.empty())
            sendTo(target, digest);
    }
}

void Node::tickShares(Instant now)
{
    std::optional<Incarnation> keeper;
    {
        const std::lock_guard lock(tables_.members.mutex);
        keeper = tables_.members.view.keeper(identity_.domain);
    }
    std::vector<ShareOutgoing> messages;
    {
        const std::lock_guard lock(tables_.shares.mutex);
        messages = tables_.shares.local.tick(now, keeper);
    }
    send(messages);
}

void Node::tickSteering(Instant now)
{
    const auto view = view_.load();
    if (now < nextSteering_ || !view)
        return;
    nextSteering_ = now + steeringPeriod;
    LocalInstanceState self { identity_, {}, !leaving_ };
    {
        const std::lock_guard lock(loadMutex_);
        self.load = load_;
    }
    auto steering = std::make_shared<SteeringMap>();
    {
        const std::lock_guard lock(tables_.members.mutex);
        *steering = makeSteering(*view, tables_.members.view, self);
    }
    steering_.store(std::move(steering));
}

bool Node::inStoreRegion() const
{
    const auto view = view_.load();
    return settings_.storeDomain && view
        && view->configuration->regionOf(*settings_.storeDomain)
        == view->configuration->regionOf(identity_.domain)
        && view->configuration->domain(identity_.domain) != nullptr;
}

void Node::announceLeaving()
{
    if (leaving_.exchange(true))
        return;
    const std::lock_guard lock(tables_.members.mutex);
    tables_.members.view.setLeaving();
}

bool Node::releaseCells(Instant deadline)
{
    const auto done = [this] { return tables_.shares.local.hasLeft(); };
    bool noUsablePeer = true;
    {
        const std::lock_guard lock(tables_.members.mutex);
        for (const Member *member : tables_.members.view.membersOf(identity_.domain))
            noUsablePeer = noUsablePeer && !member->usable();
    }
    std::unique_lock lock(tables_.shares.mutex);
    tables_.shares.local.leave(clock_.now());
    // Without another usable instance in the domain no one can take over the cells; the next
    // instance reclaims them.
    while (!noUsablePeer && !done() && clock_.now() < deadline)
        tables_.shares.changed.wait_for(lock, 50ms);
    return done();
}

bool Node::acquireRate(const ResourceId &resource, RequestCount count, Instant deadline)
{
    const Instant waitDeadline = std::min(deadline, clock_.now() + maxLoanWait);
    std::unique_lock lock(tables_.shares.mutex);
    RateShares &rates = tables_.shares.local.rates();
    Attempt attempt = Attempt::First;
    for (;;) {
        const Instant now = clock_.now();
        if (rates.tryAcquire(resource, count, now, attempt))
            return true;
        if (now >= waitDeadline)
            return false;
        attempt = Attempt::Repeated;
        const auto requests = rates.requestLoans(resource, count, now);
        if (!requests.empty()) {
            lock.unlock();
            send(requests);
            lock.lock();
        }
        const Instant refill = rates.nextAvailableAt(resource, count, now);
        const Interval wait = std::min({ waitDeadline - now, refill - now, Interval(10ms) });
        tables_.shares.changed.wait_for(lock, std::max(wait, Interval(1ms)));
    }
}

void Node::send(const std::vector<ShareOutgoing> &messages)
{
    for (const ShareOutgoing &outgoing : messages) {
        // The sender may be the destination: a domain's keeper usually owns cells of the domain,
        // too.
        if (outgoing.to == identity_.incarnation) {
            deliver(outgoing.to, outgoing.message);
            continue;
        }
        const auto address = addressOf(outgoing.to);
        if (!address)
            continue;
        {
            const std::lock_guard lock(linkMutex_);
            const auto open = openLinks_.find(*address);
            if (open == openLinks_.end())
                links_->connect(peerAddressOf(*address).value());
            else
                open->second = clock_.now();
        }
        std::visit([&](const auto &message) { sendTo(*address, message); }, outgoing.message);
    }
}

void Node::sendTo(const Address &address, const Message &message)
{
    links_->send(peerAddressOf(address).value(), encode(message));
}

std::optional<Address> Node::addressOf(const Incarnation &incarnation)
{
    const std::lock_guard lock(tables_.members.mutex);
    const Member *member = tables_.members.view.find(incarnation);
    return member == nullptr ? std::nullopt : std::optional(member->identity.address);
}

std::optional<Incarnation> Node::incarnationAt(const Address &address)
{
    const std::lock_guard lock(tables_.members.mutex);
    const Member *member = tables_.members.view.at(address);
    return member == nullptr ? std::nullopt : std::optional(member->identity.incarnation);
}

} // namespace endivequay
