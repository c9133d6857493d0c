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

/// Names of the header fields of an edge protocol. The meaning of each is the same in all.
struct EdgeHeaders
{
    std::string requestId; ///< Id of a caller's attempt; the upstream echoes it.
    std::string deadlineMs; ///< Milliseconds that are left.
    std::string objectCookie; ///< Cookie that names the object of a request.
    std::string keyScheme; ///< Scheme of the Authorization field before the key.
    std::string stamp; ///< Upstream's proof of a response.
    std::string team; ///< Set toward upstreams.
    std::string expectUpstream; ///< Id of the upstream that is meant.
    std::string occupancy; ///< "running,waiting,slots".
    std::string notRun; ///< Present if the upstream did not run the request.
    std::string upstreamId;
};

/// Connects the request engine to sockets: reads requests, carries out the engine's steps and
/// writes answers. Runs on one event loop. Not thread safe.
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
        std::function<void()> sendTokenRequests; ///< Called when the engine may have some.
    };

    static Result<std::unique_ptr<Gateway>> listen(
        Parts parts, EdgeHeaders headers, const Address &address);

    /// Applies the limits of a new configuration to connections.
    void setLimits(const CallerLimits &limits);
    /// Carries out steps of the engine that have their cause outside of the gateway.
    void carryOut(const std::vector<std::pair<RequestId, Step>> &steps);
    /// Carries out what became due. Call every few milliseconds while requests are open.
    void advance(Instant now);
    /// Connections are closed with their next answer from now on.
    void startDraining() { server_->startDraining(); }
    void closeIdle() { server_->closeIdle(); }
    std::size_t openRequests() const { return exchanges_.size(); }
    std::size_t connections() const { return server_->connections(); }
    std::uint64_t upstreamConnections() const { return client_.connectionsOpened(); }

private:
    struct Exchange
    {
        HttpMessage request;
        std::string requestId;
        CallId call = 0;
        SendToUpstream order;
        std::optional<HttpMessage> response; ///< Of the last attempt that had one.
        Instant arrivedAt;
        Instant sentAt;
        bool upstreamNotRun = false;
    };

    Gateway(Parts parts, EdgeHeaders headers);
    void arrived(ExchangeId id, HttpMessage &&request);
    void left(ExchangeId id);
    bool repeatable(const HttpMessage &request) const;
    RequestInfo factsOf(const HttpMessage &request, const std::string &host, Instant now) const;
    void carryOut(ExchangeId id, const Step &step);
    void send(ExchangeId id, const SendToUpstream &order, bool mayReuse);
    std::string upstreamRequest(
        const Exchange &exchange, const SendToUpstream &order, Instant now) const;
    void ended(ExchangeId id, CallEnd &&end, bool mayReuse);
    AttemptOutcome interpret(Exchange &exchange, CallEnd &&end) const;
    void answer(ExchangeId id, const LocalResponse &own);
    void deliver(ExchangeId id);
    void finish(ExchangeId id, const HttpMessage &response, std::string_view cause,
        std::string_view inputs = {});

    Parts parts_;
    EdgeHeaders headers_;
    EdgeClient client_;
    std::unique_ptr<EdgeServer> server_;
    std::unordered_map<ExchangeId, Exchange> exchanges_;
    bool advanceSoon_ = false;
    Instant sweptAt_;
};

} // namespace endivequay

#endif
