#ifndef ENDIVEQUAY_STANDINS_H
#define ENDIVEQUAY_STANDINS_H

#include "endivequay/result.h"
#include "endivequay/types.h"

#include <memory>

namespace endivequay {

/// A test server that stands in for an external system. It runs on its own thread until destroyed.
class Standin
{
public:
    struct State;

    explicit Standin(std::unique_ptr<State> state);
    ~Standin();
    Standin(Standin &&) noexcept;
    Standin &operator=(Standin &&) noexcept;

    /// Listening address with the actual port.
    Address address() const;

private:
    std::unique_ptr<State> state_;
};

/// Serves the parts of etcd v3's JSON gateway that EtcdStore uses: /v3/kv/range (a key, or a prefix
/// with a start), /v3/kv/txn (MOD EQUAL, put, delete), /v3/lease/grant, /v3/lease/keepalive and
/// /v3/watch.
///
/// `POST /control` takes any of
/// - "down" (bool): closes every connection without a response and ends watches;
/// - "delay_ms": delay between a call's effect and its response;
/// - "lose_next_answer" (bool): the next transaction takes effect, then its connection closes.
///
/// `GET /control/counts` returns the number of calls of each kind, "total" and "running_watches". A
/// watch counts as one call however long it waits; calls while down count too.
Result<Standin> startStoreStandin(const Address &listen);

/// Serves the platform's membership list at `GET /instances`.
///
/// `POST /control` takes "instances" (array of objects with address, failure_domain and state,
/// "live" or "leaving") and "lag_ms": delay until a new list is visible.
Result<Standin> startListStandin(const Address &listen);

/// Settings of an upstream stand-in.
struct UpstreamStandinOptions
{
    Address listen;
    std::string service;
    std::string name;
    int slots = 1;
    std::int64_t delayMs = 0; ///< Initial "delay_ms".
};

/// Serves an upstream: `GET /load`, `/control`, and every other path as an application request.
///
/// A request occupies one slot for "delay_ms"; the response is JSON that names service,
/// upstream, method, path, request, operation and the SHA-256 of the body. A request that cannot
/// finish within its Endivequay-Deadline-Ms is not run and gets status 504. A run ends early when
/// its connection closes.
///
/// `POST /control` takes any of
/// - "delay_ms"; "cold_start": milliseconds during which requests take up to five times
///   as long, decreasing linearly;
/// - "answer_bytes": size to which response bodies are padded;
/// - "shed", "never_answer", "close_after_run", "partial_answer": true, false, or the number of
///   following requests affected; "shed" responds 503 without running the request;
/// - "draining" (bool); "lie_load": "off", "constant", "zero" or "frozen";
/// - "secrets": strings that must not occur in any request, such as the teams' keys.
///
/// `GET /control/stats` has
/// - "operations" and "requests": runs by Endivequay-Operation and Endivequay-Request; "runs" in
/// all;
/// - "in_flight", "max_concurrency", "over_slots": runs started while no slot was free;
/// - "keys": headers that look like a key, and places where a secret occurred;
/// - "last_new_work_age_ms": time since the last run started, -1 if there was none.
Result<Standin> startUpstreamStandin(const UpstreamStandinOptions &options);

} // namespace endivequay

#endif
