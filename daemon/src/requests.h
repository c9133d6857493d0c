#ifndef ENDIVEQUAY_DAEMON_REQUESTS_H
#define ENDIVEQUAY_DAEMON_REQUESTS_H

#include "admission.h"
#include "endivequay/upstreamclient.h"
#include "http.h"
#include "node.h"

#include <atomic>

namespace endivequay {

/// Handles callers' requests: validates, authenticates and rate-limits them, tracks operations, and
/// forwards them to an upstream or another instance. Thread-safe; handle() blocks its thread.
class RequestHandler
{
public:
    RequestHandler(Node &node, Admission &admission);

    /// ANY /s/<service>/<path>.
    HttpReply handle(const HttpRequest &request);
    /// POST /v1/operations.
    HttpReply issueOperation(const HttpRequest &request);
    /// GET /v1/lookup?service=S&client=IP. Does not block.
    HttpReply lookup(const HttpRequest &request);

    /// 503 reply to a request for which the worker queue has no room.
    static HttpReply busyReply(const HttpRequest &request);

    /// Refuses all further requests with status 503.
    void stopAccepting() { accepting_ = false; }
    int inProgress() const { return inProgress_; }
    /// Arrival time of the latest request.
    Instant lastArrival() const { return lastArrival_; }

private:
    /// Checks that another instance has done before it forwarded a request to this one.
    enum class Hop {
        None,
        ToIssuer, ///< API key only; this instance issued the operation id and does the rest.
        Admitted ///< All checks, limits and the operation id; only a slot is needed.
    };

    /// A request with what is known about it so far.
    struct Call
    {
        const HttpRequest &http;
        std::shared_ptr<const ConfigView> view;
        const Service *service = nullptr;
        const Route *route = nullptr;
        std::string upstreamTarget;
        Hop hop = Hop::None;
        TeamId team; ///< Empty on open routes.
        RequestRate weight { 1 };
        Instant deadline;
        std::string requestId;
        std::optional<RegionId> home; ///< Home region of the client, if known.
        /// The operation table has decided on this request, so the outcome "not-run" holds for the
        /// operation and not only for this copy of it.
        bool decidedByOperationTable = false;
    };

    HttpReply handleCall(const HttpRequest &request);
    std::optional<HttpReply> validateRequest(Call &call);
    std::optional<HttpReply> resolveRoute(Call &call);
    std::optional<HttpReply> authenticate(Call &call);
    std::optional<HttpReply> authenticateHop(Call &call);
    std::optional<HttpReply> checkFreshness(const Call &call);
    std::optional<HttpReply> admit(const Call &call);
    HttpReply run(const Call &call);
    HttpReply runOnce(Call &call, const std::string &operation);
    HttpReply runOperation(Call &call, OperationHandle handle);
    HttpReply awaitRunningCopy(const Call &call, WaitTicket ticket);
    HttpReply forwardToIssuer(const Call &call, const ForwardToIssuer &issuer);
    HttpReply sendWithRetries(const Call &call);
    HttpReply sendToUpstream(
        const Call &call, const SlotGrant &grant, RequestResult &result, bool &retry);
    HttpReply forwardToPeer(const Call &call, const Address &address, Hop hop);
    HttpReply replyFromPeer(const UpstreamResponse &response, const Address &peer, Hop hop);
    HttpReply refuse(const Call &call, int status, std::string_view reason, Interval retryAfter);
    std::optional<TeamId> authenticatedTeam(
        const ConfigView &view, const HttpRequest &request) const;
    std::string hopMac(const HttpRequest &request, std::string_view kind, std::string_view team,
        std::string_view operation) const;
    RequestKind kindOf(const Call &call) const;

    Node &node_;
    Admission &admission_;
    UpstreamClient client_;
    const SteadyClock clock_ {};
    std::atomic<bool> accepting_ { true };
    std::atomic<int> inProgress_ { 0 };
    std::atomic<Instant> lastArrival_ { Instant() };
    std::atomic<std::uint64_t> lastRequestNumber_ { 0 };
};

} // namespace endivequay

#endif
