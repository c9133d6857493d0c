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

/// Whether an upstream may execute a request more than once.
enum class RequestKind {
    Once, ///< At most once; sent over a new connection that is not reused.
    Idempotent, ///< May be executed again; may reuse an idle connection.
};

/// A request to an upstream.
struct UpstreamRequest
{
    Address address;
    std::string method;
    std::string path; ///< Request target with the query; starts with '/'.
    HttpHeaders headers; ///< Hop-by-hop headers and team keys are removed before sending.
    std::string body;
    Instant deadline;
    RequestKind kind = RequestKind::Once;
    std::stop_token cancelled {}; ///< Ends the call immediately when a stop is requested.
};

/// What is known about a request after the call (design page, section 3.4).
enum class UpstreamOutcome {
    Answered, ///< A complete response arrived, with any status.
    NotRun, ///< The upstream did not and will not execute the request.
    Unknown, ///< The upstream may have executed it.
};

/// Why a request got no usable response.
enum class UpstreamFailure {
    None,
    Malformed, ///< The request is not valid HTTP; nothing was sent.
    Connect, ///< No connection; nothing was sent.
    Declined, ///< The response has the header Endivequay-Not-Run: true.
    Deadline,
    Cancelled,
    ReusedConnectionClosed, ///< A reused connection closed before a response; a new one may work.
    Incomplete, ///< The connection closed during the response, or before it on a new connection.
    TooLarge, ///< The response exceeds the size limit.
};

/// Response of an upstream, or the reason for its absence.
struct UpstreamResponse
{
    UpstreamOutcome outcome = UpstreamOutcome::Unknown;
    UpstreamFailure failure = UpstreamFailure::None;
    int status = 0; ///< Set if Answered or Declined.
    HttpHeaders headers; ///< Set if Answered or Declined; without hop-by-hop headers.
    std::string body; ///< Set if Answered or Declined.
    Error reason; ///< Set if NotRun or Unknown.

    /// Whether a request of \a kind can be retried without risk of an unwanted second execution.
    bool mayRetry(RequestKind kind) const
    {
        return outcome == UpstreamOutcome::NotRun
            || (outcome == UpstreamOutcome::Unknown && kind == RequestKind::Idempotent);
    }
};

/// HTTP/1.1 client for requests to upstreams. Pools connections per upstream, sends each request
/// at most once and follows no redirects. Thread safe; a call blocks its thread.
class UpstreamClient
{
public:
    struct Settings
    {
        /// Allows for one lost SYN, which is retransmitted after 1 s.
        Interval connectTimeout = std::chrono::milliseconds(1500);
        /// Longest time that an idle connection is kept.
        Interval idleTimeout = std::chrono::seconds(20);
        std::size_t idlePerUpstream = 64; ///< Maximum number of idle connections kept.
        std::size_t maxResponseBytes = 16'000'000; ///< Maximum size of a response body.
    };

    UpstreamClient();
    explicit UpstreamClient(Settings settings);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    /// Sends \a request and waits for the response, the deadline or cancellation. A connection
    /// on which the exchange did not complete is closed and not pooled.
    UpstreamResponse send(const UpstreamRequest &request);

    /// Closes the idle connections to \a address.
    void closeIdle(const Address &address);
    /// Number of idle connections to \a address.
    std::size_t idleConnections(const Address &address) const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace endivequay

#endif
