#ifndef ENDIVEQUAY_ETCDSTORE_H
#define ENDIVEQUAY_ETCDSTORE_H

#include "endivequay/store.h"

#include <memory>

namespace endivequay {

/// Client of etcd v3's JSON gateway over HTTP.
///
/// Reads move on to another connection or endpoint when one fails or stays silent; the time until
/// the deadline is shared equally between the attempts that are left. A write is sent once, over a
/// fresh connection, and moves on only if no byte of it was sent. Source: etcd documentation, "Why
/// gRPC gateway" and "API reference", v3.5.
class EtcdStore
{
public:
    struct Settings
    {
        std::vector<Address> endpoints; ///< At least one.
        /// Longest wait for a connection; one lost SYN is retransmitted after 1 s.
        Interval connectLimit = std::chrono::milliseconds(1500);
    };

    /// Checks the settings; connects only with the first call.
    static Result<EtcdStore> create(Settings settings);

    /// Running watches go on until their handles stop them.
    ~EtcdStore();
    EtcdStore(EtcdStore &&) noexcept;
    EtcdStore &operator=(EtcdStore &&) noexcept;

    Result<RangeResponse> range(const RangeRequest &request);
    WriteResult transact(const TransactionRequest &request);
    LeaseResult grantLease(const LeaseGrantRequest &request);
    LeaseResult keepLeaseAlive(const LeaseKeepAliveRequest &request);
    /// Runs \a callback on a thread of its own until the watch has ended.
    WatchHandle watch(const WatchRequest &request, WatchCallback callback);

private:
    struct State;
    explicit EtcdStore(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

static_assert(Store<EtcdStore>);

} // namespace endivequay

#endif
