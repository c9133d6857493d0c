#ifndef ENDIVEQUAY_CLI_BACKEND_H
#define ENDIVEQUAY_CLI_BACKEND_H

#include "settings.h"

#include "endivequay/configstore.h"
#include "endivequay/upstreamclient.h"

#include <functional>
#include <string>
#include <vector>

namespace endivequay::cli {

/// Everything outside the process that commands use.
struct Backend
{
    std::function<Instant()> now;
    std::function<void(Interval)> sleep;
    /// GET of a path from several instances at once; results are in the order of the addresses.
    std::function<std::vector<Result<std::string>>(
        const std::vector<Address> &, const std::string &)>
        fetch;
    /// POST to a path with headers and no body.
    std::function<Result<std::string>(const Address &, const std::string &, const HttpHeaders &)>
        post;
    std::function<std::string(std::size_t)> randomBytes;
    std::function<Result<ConfigSnapshot>()> readDocuments;
    std::function<SubmitResult(const ConfigChange &)> submit;
};

/// Longest wait for one answer of the store. Reading the design size takes hundreds of calls.
inline constexpr Interval storeLimit = std::chrono::seconds(60);

/// Lets \a backend use \a store, which must outlive it.
template <Store S>
void useStore(Backend &backend, S &store)
{
    backend.readDocuments = [&store, now = backend.now] {
        return ConfigStore<S>(store).readDocuments(now() + storeLimit);
    };
    backend.submit = [&store, now = backend.now](const ConfigChange &change) {
        return ConfigStore<S>(store).submit(change, now() + storeLimit);
    };
}

/// A backend over the network.
Backend networkBackend();

} // namespace endivequay::cli

#endif
