#ifndef ENDIVEQUAY_ETCDSTORE_H
#define ENDIVEQUAY_ETCDSTORE_H

#include "endivequay/store.h"

#include <memory>

namespace endivequay {

/// Client of the etcd v3 JSON gateway (gRPC gateway) over HTTP.
///
/// A read is retried on another connection or endpoint if one fails or does not respond; the time
/// until the deadline is divided equally among the remaining attempts. A write is sent over a new
/// connection, and tries another endpoint only if no byte of it was sent. Source: etcd
/// documentation, "Why gRPC gateway" and "API reference", v3.5.
class EtcdStore
{
public:
    struct Settings
    {
        std::vector<Address> endpoints; ///< At least one.
        /// Timeout of connection setup. A lost SYN is retransmitted after 1 s, so one loss is
        /// tolerated.
        Interval connectTimeout = std::chrono::milliseconds(1500);
    };

    /// Validates the settings. The first call opens a connection.
    static Result<EtcdStore> create(Settings settings);

    /// Running watches continue until their handles stop them.
    ~EtcdStore();
    EtcdStore(EtcdStore &&) noexcept;
    EtcdStore &operator=(EtcdStore &&) noexcept;

    Result<RangeResponse> range(const RangeRequest &request);
    WriteResult transact(const TransactionRequest &request);
    LeaseResult grantLease(const LeaseGrantRequest &request);
    LeaseResult keepLeaseAlive(const LeaseKeepAliveRequest &request);
    /// Runs \a callback on a separate thread until the watch has ended.
    WatchHandle watch(const WatchRequest &request, WatchCallback callback);

private:
    struct State;
    explicit EtcdStore(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

static_assert(Store<EtcdStore>);

} // namespace endivequay

#endif
