#ifndef ENDIVEQUAY_CLI_BACKEND_H
#define ENDIVEQUAY_CLI_BACKEND_H

#include "settings.h"

#include "endivequay/configstore.h"
#include "endivequay/upstreamclient.h"

#include <functional>
#include <string>
#include <vector>

namespace endivequay::cli {

/// Access of the commands to time, randomness, instances and the store. Tests replace it.
struct Backend
{
    std::function<Instant()> now;
    std::function<void(Interval)> sleep;
    /// Sends GET requests for a path to several instances in parallel; results are in the order of
    /// the addresses.
    std::function<std::vector<Result<std::string>>(
        const std::vector<Address> &, const std::string &)>
        fetch;
    /// Sends a POST request with headers and no body; returns the response body.
    std::function<Result<std::string>(const Address &, const std::string &, const HttpHeaders &)>
        post;
    std::function<std::string(std::size_t)> randomBytes;
    std::function<Result<ConfigSnapshot>()> readDocuments;
    std::function<SubmitResult(const ConfigChange &)> submit;
};

/// Timeout of one read or submission. Reading a configuration of the design size takes hundreds of
/// calls to the store.
inline constexpr Interval storeTimeout = std::chrono::seconds(60);

/// Makes \a backend read from and write to \a store, which must outlive it.
template <Store S>
void useStore(Backend &backend, S &store)
{
    backend.readDocuments = [&store, now = backend.now] {
        return ConfigStore<S>(store).readDocuments(now() + storeTimeout);
    };
    backend.submit = [&store, now = backend.now](const ConfigChange &change) {
        return ConfigStore<S>(store).submit(change, now() + storeTimeout);
    };
}

/// A backend that reaches instances over the network; it has no store until useStore().
Backend networkBackend();

} // namespace endivequay::cli

#endif
