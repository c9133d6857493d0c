#ifndef ENDIVEQUAY_STANDINS_H
#define ENDIVEQUAY_STANDINS_H

#include "endivequay/result.h"
#include "endivequay/types.h"

#include <memory>

namespace endivequay {

/// A stand-in for an outside system, served on a thread of its own until destroyed.
class Standin
{
public:
    struct State;

    explicit Standin(std::unique_ptr<State> state);
    ~Standin();
    Standin(Standin &&) noexcept;
    Standin &operator=(Standin &&) noexcept;

    /// Where it listens, with the chosen port.
    Address address() const;

private:
    std::unique_ptr<State> state_;
};

/// Serves the parts of etcd v3's JSON gateway that EtcdStore uses: /v3/kv/range (a key, or a prefix
/// with a start), /v3/kv/txn (MOD EQUAL, put, delete), /v3/lease/grant, /v3/lease/keepalive and
/// /v3/watch.
///
/// `POST /control` takes any of
/// - "down" (bool): closes every connection without an answer and ends watches;
/// - "delay_ms": time between a call's effect and its answer;
/// - "lose_next_answer" (bool): the next transaction takes effect, then its connection closes.
///
/// `GET /control/counts` has the calls of each kind, "total" and "running_watches". A watch counts
/// as one call however long it waits; calls while down count too.
Result<Standin> startStoreStandin(const Address &listen);

/// Serves the platform's membership list at `GET /instances`.
///
/// `POST /control` takes "instances" (array of objects with address, failure_domain and state,
/// "live" or "leaving") and "lag_ms": time until a new list is visible.
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

/// Serves an upstream: `GET /load`, `/control`, and every other path as work.
///
/// A request works for "delay_ms" on one slot and is answered with JSON that names service,
/// upstream, method, path, request, operation and the SHA-256 of the body. A request that cannot be
/// done within its Endivequay-Deadline-Ms is answered 504, not run. Work ends when its connection
/// closes.
///
/// `POST /control` takes any of
/// - "delay_ms"; "cold_start": milliseconds during which work takes up to five times as long;
/// - "answer_bytes": size to which answers are padded;
/// - "shed", "never_answer", "close_after_run", "partial_answer": true, false, or the number of
///   requests that are affected next; "shed" answers 503, not run;
/// - "draining" (bool); "lie_load": "off", "constant", "zero" or "frozen";
/// - "secrets": strings that must not occur in any request, such as the teams' keys.
///
/// `GET /control/stats` has
/// - "operations" and "requests": runs by Endivequay-Operation and Endivequay-Request; "runs" in
/// all;
/// - "in_flight", "max_concurrency", "over_slots": requests that found no slot free;
/// - "keys": headers that look like a key, and places where a secret occurred;
/// - "last_new_work_age_ms": time since the last run started, -1 if there was none.
Result<Standin> startUpstreamStandin(const UpstreamStandinOptions &options);

} // namespace endivequay

#endif
