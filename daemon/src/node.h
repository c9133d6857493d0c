#ifndef ENDIVEQUAY_DAEMON_NODE_H
#define ENDIVEQUAY_DAEMON_NODE_H

#include "endivequay/configlog.h"
#include "endivequay/configstore.h"
#include "endivequay/etcdstore.h"
#include "endivequay/events.h"
#include "endivequay/freshness.h"
#include "endivequay/membership.h"
#include "endivequay/messages.h"
#include "endivequay/metrics.h"
#include "endivequay/operations.h"
#include "endivequay/peerlinks.h"
#include "endivequay/shares.h"
#include "servingview.h"
#include "settings.h"
#include "workerpool.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace endivequay {

/// Formats an incarnation as 16 hexadecimal digits, as in the timeline and the status page.
std::string toText(const Incarnation &incarnation);

/// Mutable state that the threads of an instance share, each part with its own mutex. Lock order:
/// config, members, shares, admission (see admission.h), operations. A thread that holds one mutex
/// locks only later ones. The timeline, the metrics and the peer links have internal locks that are
/// never held while another one is acquired.
struct Tables
{
    struct Config
    {
        std::mutex mutex;
        ConfigLog log;
        Freshness freshness;
        SyncSource source;
        SharedDocuments appliedDocuments; ///< Documents of the view in force.
    } config;

    struct Members
    {
        explicit Members(MemberIdentity self)
            : view(std::move(self))
        { }

        std::mutex mutex;
        Membership view;
    } members;

    struct Shares
    {
        Shares(FailureDomainId domain, Incarnation self, Instant now)
            : local(domain, self, now)
            , keeper(std::move(domain), self, now)
        { }

        std::mutex mutex;
        std::condition_variable changed; ///< Loans, ledgers or definitions have changed.
        InstanceShares local;
        Keeper keeper;
        /// Known ledgers, each with the start time of the latest store read that confirmed it.
        std::map<FailureDomainId, std::pair<LedgerSnapshot, Instant>> ledgers;
        std::optional<PlatformList> platformList;
        std::map<Incarnation, Instant> firstSeenAt;
    } shares;

    struct Operations
    {
        Operations(Incarnation self, Address address, std::string secret)
            : table(self, std::move(address), std::move(secret))
        { }

        std::mutex mutex;
        std::condition_variable changed; ///< An operation has ended.
        OperationTable table;
        std::map<WaitTicket, FinishedOperation> finished; ///< Results for waiting copies.
    } operations;

    Tables(const MemberIdentity &self, const std::string &operationSecret, Instant now)
        : members(self)
        , shares(self.domain, self.incarnation, now)
        , operations(self.incarnation, self.address, operationSecret)
    { }
};

/// Connects the coordination package of one instance to its peers and the store: runs its timers on
/// threads and sends and receives its messages.
class Node
{
public:
    /// Opens the peer links and starts all threads.
    static Result<std::unique_ptr<Node>> start(
        const Settings &settings, Timeline &timeline, Metrics &metrics);
    /// Stops all threads.
    ~Node();

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    const Settings &settings() const { return settings_; }
    const MemberIdentity &identity() const { return identity_; }
    Timeline &timeline() { return timeline_; }
    Metrics &metrics() { return metrics_; }
    Tables &tables() { return tables_; }
    PeerLinkCounters linkCounters() const { return links_->counters(); }

    /// The configuration in force; null before the first one.
    std::shared_ptr<const ConfigView> view() const { return view_.load(); }
    std::shared_ptr<const SteeringMap> steering() const { return steering_.load(); }

    /// Sets the request load that the next heartbeat reports to peers.
    void setLoad(const LoadSummary &load);
    /// Sends each share message to its destination instance.
    void send(const std::vector<ShareOutgoing> &messages);
    /// Takes \a count tokens. If too few are left, blocks up to maxLoanWait for a loan from other
    /// instances, but not past \a deadline. Returns false if the tokens were not obtained.
    bool acquireRate(const ResourceId &resource, RequestCount count, Instant deadline);

    /// Announces to all peers that this instance leaves; look-ups no longer return it.
    void announceLeaving();
    bool isLeaving() const { return leaving_; }
    /// Releases all cells and waits until the ledger confirms it, at most until \a deadline.
    /// Returns whether it did.
    bool releaseCells(Instant deadline);

private:
    struct PendingPull
    {
        Incarnation target;
        Instant sentAt;
    };

    Node(const Settings &settings, Timeline &timeline, Metrics &metrics, MemberIdentity identity,
        EtcdStore store);

    // Thread functions.
    void controlLoop(const std::stop_token &stop);
    void storeLoop(const std::stop_token &stop);
    void membershipListLoop(const std::stop_token &stop);

    // Timers of the control thread.
    void tickMembership(Instant now);
    void tickHeartbeats(Instant now);
    void tickPull(Instant now);
    void tickLedgerPull(Instant now);
    void tickShares(Instant now);
    void tickSteering(Instant now);
    void tickFreshness(Instant now);

    // Message handlers, called on the thread of the peer links.
    void onConnected(const PeerIdentity &peer);
    void onDisconnected(const PeerIdentity &peer);
    void onBytes(const PeerIdentity &peer, const std::string &bytes);
    void onRejected(const std::string &peer, const std::string &reason);
    /// Records each reason once per peer host, so that a faulty peer cannot flood the log.
    void recordOnce(EventId id, const std::string &peer, const std::string &reason);
    void handle(const Address &from, const Hello &message);
    void handle(const Address &from, const Heartbeat &message);
    void handle(const Address &from, const HeartbeatEcho &message);
    void handle(const Address &from, const ConfigPull &message);
    void handle(const Address &from, const ConfigReply &message);
    void handle(const Address &from, const MemberDigest &message);
    void handle(const Address &from, const LedgerPull &message);
    void handle(const Address &from, const LedgerReply &message);
    template <class T>
    void handle(const Address &from, const T &message);
    void handleShare(const Address &from, const ShareMessage &message);
    void deliver(const Incarnation &sender, const ShareMessage &message);

    // Configuration.
    void readConfiguration(Instant now);
    void startWatch();
    void onWatch(const ConfigWatchMessage &message);
    void applySnapshot(const ConfigSnapshot &snapshot);
    void applyUpdate(const ConfigUpdate &update);
    void rebuildView(RaiseRule rule);
    void onStoreReadFailed(Instant readStarted);

    // Cells.
    void readLedger();
    void updateLedger();
    void applyLedger(const LedgerSnapshot &snapshot, Instant readStarted);
    std::vector<LedgerMember> ledgerMembers(Instant now);
    std::vector<DomainOwners> ownersInOtherDomains();

    bool inStoreRegion() const;
    void sendTo(const Address &address, const Message &message);
    std::vector<Address> failedLinks(const std::vector<Address> &wanted, Instant now);
    void logMemberEvents(const std::vector<MemberEvent> &events);
    std::optional<Address> addressOf(const Incarnation &incarnation);
    std::optional<Incarnation> incarnationAt(const Address &address);

    const Settings settings_;
    Timeline &timeline_;
    Metrics &metrics_;
    const MemberIdentity identity_;
    const SteadyClock clock_ {};
    Tables tables_;
    std::atomic<bool> leaving_ { false };

    std::atomic<std::shared_ptr<const ConfigView>> view_;
    std::atomic<std::shared_ptr<const SteeringMap>> steering_;
    std::mutex loadMutex_;
    LoadSummary load_;

    std::unique_ptr<PeerLinks> links_;
    std::mutex linkMutex_;
    std::map<Address, Instant> openLinks_; ///< Open links and the time of the last use.
    std::set<Address> persistentLinks_; ///< Links to keep open.
    std::set<std::pair<std::string, std::string>> loggedRejections_;

    std::mutex pullMutex_;
    std::map<std::uint64_t, PendingPull> pendingPulls_;
    std::uint64_t lastPullNumber_ = 0;

    EtcdStore store_;
    ConfigStore<EtcdStore> configStore_;
    WatchHandle watch_;
    std::atomic<bool> watching_ { false };
    /// Until then the store counts as reachable, and a reader does not pull from peers.
    std::atomic<Instant> storeReachableUntil_ { Instant() };
    std::mutex storeMutex_;
    std::condition_variable_any storeThreadWake_;
    bool storeRunRequested_ = false; ///< Wakes the store thread before its period ends.
    bool storeSilent_ = false; ///< Used by the store thread only.

    std::uint64_t heartbeatSequence_ = 0; ///< Used by the control thread only.
    std::map<Address, Instant> linkDownSince_; ///< Persistent links that are not open; as above.
    Instant nextHeartbeat_, nextPull_, nextLedgerPull_, nextSteering_; ///< As above.
    std::size_t ledgerPullCount_ = 0; ///< As above.

    /// Single thread, so that updates apply in order and do not block the peer links.
    std::unique_ptr<WorkerPool> configWorker_;
    std::jthread controlThread_;
    std::jthread storeThread_;
    std::jthread listThread_;
};

} // namespace endivequay

#endif
