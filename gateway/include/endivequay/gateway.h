#ifndef ENDIVEQUAY_GATEWAY_H
#define ENDIVEQUAY_GATEWAY_H

#include "endivequay/decisionlog.h"
#include "endivequay/edgeclient.h"
#include "endivequay/edgeserver.h"
#include "endivequay/requestengine.h"
#include "endivequay/trafficmetrics.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace endivequay {

/// Header field, cookie and scheme names of an edge protocol. Their meaning is the same in all
/// protocols.
struct EdgeHeaders
{
    std::string requestId; ///< Id of a caller's attempt; echoed by the upstream.
    std::string deadlineMs; ///< Remaining time in milliseconds.
    std::string objectCookie; ///< Cookie with the object key of a request.
    std::string keyScheme; ///< Authorization scheme of API keys.
    std::string stamp; ///< Upstream's authenticity stamp on a success; empty: none is expected.
    std::string team; ///< Added to upstream requests.
    std::string expectUpstream; ///< Id of the intended upstream.
    std::string occupancy; ///< "running,waiting,slots".
    std::string notRun; ///< Present if the upstream did not run the request.
    std::string upstreamId;
    std::string leaving; ///< "1" in the responses of an upstream that is leaving.
};

/// Connects the request engine to sockets: reads requests, executes the engine's steps and writes
/// responses. Runs on one event loop. Not thread safe.
class Gateway
{
public:
    struct Parts
    {
        asio::io_context &loop;
        RequestEngine &engine;
        DecisionLog &log;
        TrafficMetrics &metrics;
        std::function<Instant()> now;
        std::function<void()> sendTokenRequests; ///< Called when the engine may have queued some.
        ByteBudget *budget = nullptr; ///< Memory for messages; null: no limit.
        std::size_t maxConnections = 0; ///< Of callers; 0: no limit.
        std::size_t maxResponseBytes = 0; ///< Of all unfinished responses; 0: the client's default.
    };

    static Result<std::unique_ptr<Gateway>> listen(
        Parts parts, EdgeHeaders headers, const Address &address);

    /// Applies the size limits and timeouts of a new configuration.
    void setLimits(const CallerLimits &limits);
    /// Executes engine steps that were triggered outside the gateway, such as by a token grant.
    void execute(const std::vector<std::pair<RequestId, Step>> &steps);
    /// Processes timeouts and due steps. Call every few milliseconds while requests are open.
    void advance(Instant now);
    /// From now on the last pending response of a connection closes it.
    void startDraining() { server_->startDraining(); }
    void closeIdle() { server_->closeIdle(); }
    std::size_t openRequests() const { return exchanges_.size(); }
    /// Whether all requests are answered and all responses are handed to the network.
    bool isIdle() const { return exchanges_.empty() && server_->isIdle(); }
    std::size_t connectionCount() const { return server_->connectionCount(); }
    std::uint64_t openedUpstreamConnections() const { return client_.connectionsOpened(); }

private:
    struct Exchange
    {
        HttpMessage request; ///< Without the body.
        std::shared_ptr<const std::string> body;
        std::string requestId;
        CallId call = 0;
        SendToUpstream order;
        std::optional<HttpMessage> response; ///< Of the latest attempt with a response.
        Instant arrivedAt;
        Instant sentAt;
        bool upstreamNotRun = false;
    };

    Gateway(Parts parts, EdgeHeaders headers);
    void handleRequest(ExchangeId id, HttpMessage &&request);
    void handleDisconnect(ExchangeId id);
    bool isIdempotent(const HttpMessage &request) const;
    RequestInfo extractFacts(
        const HttpMessage &request, const std::string &host, Instant now) const;
    void execute(ExchangeId id, const Step &step);
    void send(ExchangeId id, const SendToUpstream &order, bool mayReuse);
    std::string upstreamRequest(
        const Exchange &exchange, const SendToUpstream &order, Instant now) const;
    void handleCallResult(ExchangeId id, CallResult &&end, bool mayReuse);
    /// Whether \a response reports a success that no upstream confirms: a server of another system
    /// may listen at the address.
    bool isUnstampedSuccess(const HttpMessage &response) const;
    AttemptOutcome interpret(Exchange &exchange, CallResult &&end) const;
    void respondLocally(ExchangeId id, const LocalResponse &own);
    void forwardResponse(ExchangeId id);
    void finish(
        ExchangeId id, HttpMessage response, std::string_view cause, std::string_view inputs = {});

    Parts parts_;
    EdgeHeaders headers_;
    EdgeClient client_;
    std::unique_ptr<EdgeServer> server_;
    std::unordered_map<ExchangeId, Exchange> exchanges_;
    bool advanceScheduled_ = false;
    Instant lastSweepAt_;
};

} // namespace endivequay

#endif
