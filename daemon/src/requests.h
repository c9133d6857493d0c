#ifndef ENDIVEQUAY_DAEMON_REQUESTS_H
#define ENDIVEQUAY_DAEMON_REQUESTS_H

#include "admission.h"
#include "endivequay/upstreamclient.h"
#include "http.h"
#include "node.h"

#include <atomic>

namespace endivequay {

/// Callers' requests: checks, limits, operations, and the way to an upstream or another instance.
/// Thread safe; handle() blocks its thread.
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

    /// Refusal of a request for which no worker is free.
    static HttpReply busy(const HttpRequest &request);

    /// New requests are refused as "not run" from now on.
    void stopAccepting() { accepting_ = false; }
    int inProgress() const { return inProgress_; }
    /// When the last request arrived.
    Instant lastArrival() const { return lastArrival_; }

private:
    /// What another instance vouches for when it passes a request on.
    enum class Hop {
        None,
        ToIssuer, ///< This instance issued the operation id and does all checks but the key's.
        Admitted ///< Checks and limits are done, an operation id included; only a slot is needed.
    };

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
        std::optional<RegionId> home;
        /// The operation table decided about this copy, so "not run" is true of the operation.
        bool operationDecided = false;
    };

    HttpReply handleCall(const HttpRequest &request);
    std::optional<HttpReply> resolve(Call &call);
    std::optional<HttpReply> resolveRoute(Call &call);
    std::optional<HttpReply> authenticate(Call &call);
    std::optional<HttpReply> authenticateHop(Call &call);
    std::optional<HttpReply> checkFresh(const Call &call);
    std::optional<HttpReply> admit(const Call &call);
    HttpReply run(const Call &call);
    HttpReply runOnce(Call &call, const std::string &operation);
    HttpReply runOperation(Call &call, OperationHandle handle);
    HttpReply awaitCopy(const Call &call, WaitTicket ticket);
    HttpReply passToIssuer(const Call &call, const ForwardToIssuer &issuer);
    HttpReply attempt(const Call &call);
    HttpReply send(const Call &call, const SlotGrant &grant, RequestResult &result, bool &retry);
    HttpReply passOn(const Call &call, const Address &address, Hop hop);
    HttpReply fromPeer(const UpstreamResponse &response, const Address &peer, Hop hop);
    HttpReply refuse(const Call &call, int status, std::string_view reason, Interval retryAfter);
    std::optional<TeamId> teamOf(const ConfigView &view, const HttpRequest &request) const;
    std::string hopProof(const HttpRequest &request, std::string_view kind, std::string_view team,
        std::string_view operation) const;
    RequestKind kindOf(const Call &call) const;

    Node &node_;
    Admission &admission_;
    UpstreamClient client_;
    const SteadyClock clock_ {};
    std::atomic<bool> accepting_ { true };
    std::atomic<int> inProgress_ { 0 };
    std::atomic<Instant> lastArrival_ { Instant() };
    std::atomic<std::uint64_t> lastRequest_ { 0 };
};

} // namespace endivequay

#endif
