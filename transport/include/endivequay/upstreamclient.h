#ifndef ENDIVEQUAY_UPSTREAMCLIENT_H
#define ENDIVEQUAY_UPSTREAMCLIENT_H

#include "endivequay/clock.h"
#include "endivequay/result.h"
#include "endivequay/types.h"

#include <memory>
#include <stop_token>
#include <string>
#include <utility>
#include <vector>

namespace endivequay {

/// Header names and values in the order received; names in any letter case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// How often a request may run.
enum class RequestKind {
    Once, ///< At most once; sent over a fresh connection that is not used again.
    Idempotent, ///< May run again; may use a kept connection.
};

/// A request to an upstream.
struct UpstreamRequest
{
    Address address;
    std::string method;
    std::string path; ///< Request target with query, starts with '/'.
    HttpHeaders headers; ///< Hop-by-hop headers and keys among them are not sent.
    std::string body;
    Instant deadline;
    RequestKind kind = RequestKind::Once;
    std::stop_token cancelled {}; ///< Ends the call at once when stop is requested.
};

/// What is known about a request after the call (design page, section 3.4).
enum class UpstreamOutcome {
    Answered, ///< A complete answer arrived, with any status.
    NotRun, ///< The upstream did not and will not run the request.
    Unknown, ///< The upstream may have run it.
};

/// Why a request was not answered.
enum class UpstreamFailure {
    None,
    Malformed, ///< The request is not valid HTTP; nothing was sent.
    Connect, ///< No connection; nothing was sent.
    Declined, ///< The answer says Endivequay-Not-Run: true.
    Deadline,
    Cancelled,
    ReusedConnectionClosed, ///< A kept connection closed before an answer; a new one may work.
    Incomplete, ///< The connection ended within the answer, or before it on a fresh connection.
    TooLarge, ///< The answer exceeds the limit.
};

/// Answer of an upstream, or why there is none.
struct UpstreamResponse
{
    UpstreamOutcome outcome = UpstreamOutcome::Unknown;
    UpstreamFailure failure = UpstreamFailure::None;
    int status = 0; ///< Answered and Declined.
    HttpHeaders headers; ///< Answered and Declined; without hop-by-hop headers.
    std::string body; ///< Answered and Declined.
    Error reason; ///< NotRun and Unknown.

    /// Whether a second attempt of a request of \a kind can do no harm.
    bool mayRetry(RequestKind kind) const
    {
        return outcome == UpstreamOutcome::NotRun
            || (outcome == UpstreamOutcome::Unknown && kind == RequestKind::Idempotent);
    }
};

/// HTTP/1.1 client for requests to upstreams. Keeps connections per upstream; sends each request
/// at most once; follows no redirects. Thread safe; a call blocks its thread.
class UpstreamClient
{
public:
    struct Settings
    {
        /// Longest wait for a connection; one lost SYN is retransmitted after 1 s.
        Interval connectLimit = std::chrono::milliseconds(1500);
        /// Longest time that an unused connection is kept.
        Interval idleLimit = std::chrono::seconds(20);
        std::size_t idlePerUpstream = 64; ///< Largest number of unused connections kept.
        std::size_t answerLimit = 16'000'000; ///< Largest body of an answer, in bytes.
    };

    UpstreamClient();
    explicit UpstreamClient(Settings settings);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    /// Sends \a request and waits for the answer, until the deadline or cancellation. A connection
    /// on which anything failed or was left unfinished is closed and not kept.
    UpstreamResponse send(const UpstreamRequest &request);

    /// Closes the unused connections to \a address.
    void closeIdle(const Address &address);
    /// Number of unused connections kept to \a address.
    std::size_t idleConnections(const Address &address) const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace endivequay

#endif
