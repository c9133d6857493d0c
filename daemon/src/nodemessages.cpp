// Handlers of peer messages.

#include "endivequay/codec.h"
#include "node.h"

#include <algorithm>

namespace endivequay {

void Node::onConnected(const PeerIdentity &peer)
{
    const Address address = callerAddressOf(Address(peer.address));
    {
        const std::lock_guard lock(linkMutex_);
        openLinks_[address] = clock_.now();
    }
    Hello hello;
    hello.time = timeline_.sendTime();
    hello.identity = identity_;
    sendTo(address, hello);
}

void Node::onDisconnected(const PeerIdentity &peer)
{
    const Address address = callerAddressOf(Address(peer.address));
    {
        const std::lock_guard lock(linkMutex_);
        openLinks_.erase(address);
    }
    const Instant now = clock_.now();
    const std::lock_guard lock(tables_.members.mutex);
    Membership &view = tables_.members.view;
    view.linkClosed(address);
    const Member *member = view.at(address);
    if (member != nullptr && member->state == MemberState::Leaving
        && member->identity.incarnation == Incarnation(peer.incarnation))
        view.peerLeft(member->identity.incarnation, now);
}

void Node::onRejected(const std::string &peer, const std::string &reason)
{
    recordOnce(EventId::PeerRejected, peer, reason);
}

void Node::recordOnce(EventId id, const std::string &peer, const std::string &reason)
{
    {
        const std::lock_guard lock(linkMutex_);
        const std::string host = peer.substr(0, peer.rfind(':'));
        if (!loggedRejections_.emplace(host, reason).second)
            return;
    }
    timeline_.record(id, { { "peer", peer }, { "reason", reason } });
}

void Node::onBytes(const PeerIdentity &peer, const std::string &bytes)
{
    auto message = decode(bytes);
    if (!message) {
        recordOnce(EventId::PeerMessageRejected, peer.address, toString(message.lastReason()));
        return;
    }
    const Address from = callerAddressOf(Address(peer.address));
    std::visit([&](const auto &typed) { handle(from, typed); }, *message);
}

void Node::handle(const Address &from, const Hello &message)
{
    timeline_.receive(message.time);
    if (message.identity.address != from) {
        onRejected(from.value(), "hello message names a different address");
        return;
    }
    const Instant now = clock_.now();
    const std::lock_guard lock(tables_.members.mutex);
    if (tables_.members.view.helloReceived(message.identity, now))
        tables_.members.view.linkOpened(from, now);
}

void Node::handle(const Address &from, const Heartbeat &message)
{
    timeline_.receive(message.time);
    const Instant now = clock_.now();
    {
        const std::lock_guard lock(tables_.members.mutex);
        if (!tables_.members.view.heartbeatReceived(message, now))
            return;
        const Member *member = tables_.members.view.find(message.incarnation);
        if (member == nullptr || member->identity.address != from)
            return;
    }
    {
        const std::lock_guard lock(tables_.shares.mutex);
        tables_.shares.firstSeenAt.emplace(message.incarnation, now);
    }
    HeartbeatEcho echo;
    echo.sequence = message.sequence;
    {
        const std::lock_guard lock(tables_.config.mutex);
        echo.silences = tables_.config.freshness.silences(now);
    }
    sendTo(from, echo);
}

void Node::handle(const Address &, const HeartbeatEcho &message)
{
    // The heartbeat was sent at most one period (1 s) before its echo arrives, unless the echo is
    // late. Dating the report one period back avoids understating its age.
    const Instant now = clock_.now();
    const std::lock_guard lock(tables_.config.mutex);
    for (const SilenceReport &report : message.silences)
        tables_.config.freshness.silenceReported(report, now - std::chrono::seconds(1), now);
}

void Node::handle(const Address &from, const ConfigPull &message)
{
    const Instant now = clock_.now();
    ConfigReply reply;
    reply.time = timeline_.sendTime();
    reply.number = message.number;
    {
        const std::lock_guard lock(tables_.config.mutex);
        reply.revision = tables_.config.log.revision();
        reply.confirmedAge = tables_.config.freshness.age(now);
        reply.syncPath = tables_.config.source.path();
        reply.silences = tables_.config.freshness.silences(now);
        reply.update = tables_.config.log.changesSince(message.revision, message.cursor);
    }
    sendTo(from, reply);
}

void Node::handle(const Address &from, const ConfigReply &message)
{
    timeline_.receive(message.time);
    const auto source = incarnationAt(from);
    PendingPull pull;
    {
        const std::lock_guard lock(pullMutex_);
        const auto found = pendingPulls_.find(message.number);
        if (!source || found == pendingPulls_.end() || found->second.target != *source)
            return;
        pull = found->second;
        pendingPulls_.erase(found);
    }
    const Instant now = clock_.now();
    {
        const std::lock_guard lock(tables_.config.mutex);
        Tables::Config &config = tables_.config;
        config.source.replied(identity_.incarnation, *source, message.syncPath, now);
        for (const SilenceReport &report : message.silences)
            config.freshness.silenceReported(report, pull.sentAt, now);
        if (message.confirmedAge)
            config.freshness.peerAnswered(pull.sentAt, *message.confirmedAge, message.revision);
    }
    const auto *delta = std::get_if<ConfigDelta>(&message.update);
    if (delta == nullptr || !delta->changes.empty())
        configWorker_->tryRun([this, update = message.update] { applyUpdate(update); });
}

void Node::handle(const Address &from, const MemberDigest &message)
{
    const Instant now = clock_.now();
    const std::lock_guard lock(tables_.members.mutex);
    const Member *sender = tables_.members.view.find(message.incarnation);
    if (sender != nullptr && sender->identity.address == from)
        tables_.members.view.digestReceived(message, now);
}

void Node::handle(const Address &from, const LedgerPull &message)
{
    const Instant now = clock_.now();
    LedgerReply reply { message.number, identity_.incarnation, {} };
    {
        const std::lock_guard lock(tables_.shares.mutex);
        for (const auto &[domain, known] : tables_.shares.ledgers) {
            const auto &[snapshot, readStarted] = known;
            const auto peerLedger = std::ranges::find(message.known, domain, &KnownLedger::domain);
            const bool unknown = peerLedger == message.known.end();
            const bool newer = unknown ? message.all : peerLedger->revision < snapshot.revision;
            if (!newer && domain != message.domain)
                continue;
            LedgerEntry entry { domain, snapshot.revision, now - readStarted, std::nullopt };
            if (newer)
                entry.document.emplace(
                    domain.value(), std::make_shared<const std::string>(snapshot.ledger.toJson()));
            reply.entries.push_back(std::move(entry));
        }
    }
    sendTo(from, reply);
}

void Node::handle(const Address &, const LedgerReply &message)
{
    Instant sentAt;
    {
        const std::lock_guard lock(pullMutex_);
        const auto found = pendingPulls_.find(message.number);
        if (found == pendingPulls_.end())
            return;
        sentAt = found->second.sentAt;
        pendingPulls_.erase(found);
    }
    for (const LedgerEntry &entry : message.entries) {
        LedgerSnapshot snapshot { entry.revision, CellLedger(entry.domain) };
        if (entry.document) {
            auto ledger = CellLedger::fromJson(*entry.document->second);
            if (!ledger || ledger->domain() != entry.domain)
                continue;
            snapshot.ledger = *std::move(ledger);
        } else {
            const std::lock_guard lock(tables_.shares.mutex);
            const auto known = tables_.shares.ledgers.find(entry.domain);
            if (known == tables_.shares.ledgers.end()
                || known->second.first.revision != entry.revision)
                continue;
            snapshot = known->second.first;
        }
        applyLedger(snapshot, sentAt - entry.age);
    }
}

template <class T>
void Node::handle(const Address &from, const T &message)
{
    handleShare(from, message);
}

void Node::handleShare(const Address &from, const ShareMessage &message)
{
    if (const auto sender = incarnationAt(from))
        deliver(*sender, message);
}

void Node::deliver(const Incarnation &sender, const ShareMessage &message)
{
    if (const auto *released = std::get_if<CellReleased>(&message)) {
        {
            const std::lock_guard lock(tables_.shares.mutex);
            tables_.shares.keeper.onCellReleased(*released);
        }
        {
            const std::lock_guard lock(storeMutex_);
            storeRunRequested_ = true;
        }
        storeThreadWake_.notify_all();
        return;
    }
    const Instant now = clock_.now();
    std::vector<ShareOutgoing> answers;
    {
        const std::lock_guard lock(tables_.shares.mutex);
        answers = tables_.shares.local.onMessage(sender, message, now);
    }
    tables_.shares.changed.notify_all();
    send(answers);
}

} // namespace endivequay
