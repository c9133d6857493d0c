#include "daemon.h"

#include "admin.h"

#include <thread>

namespace endivequay {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t queuedPerWorker = 16;
// Callers may cache a look-up result for its lifetime, and peers learn up to a second later that
// the instance leaves.
constexpr Interval leavingNoticeDelay = 4s;
// Late requests are refused with "leaving". The instance exits when none has arrived for this long,
// so that no connection is waiting when the server closes.
constexpr Interval quietPeriod = 500ms;
constexpr Interval quietTimeout = 5s;

} // namespace

Daemon::Daemon(const Settings &settings)
    : settings_(settings)
    , timeline_(settings.name, settings.timelineCapacity,
          settings.logRequests ? Timeline::Log::Standard : Timeline::Log::WithoutRequests)
{ }

Result<std::unique_ptr<Daemon>> Daemon::start(const Settings &settings)
{
    std::unique_ptr<Daemon> daemon(new Daemon(settings));
    auto node = Node::start(daemon->settings_, daemon->timeline_, daemon->metrics_);
    if (!node)
        return node.lastReason();
    daemon->node_ = *std::move(node);
    daemon->admission_ = std::make_unique<Admission>(*daemon->node_);
    daemon->requests_ = std::make_unique<RequestHandler>(*daemon->node_, *daemon->admission_);
    daemon->workers_ = std::make_unique<WorkerPool>(
        settings.workers, queuedPerWorker * static_cast<std::size_t>(settings.workers));
    auto server = HttpServer::start({ settings.listen, settings.ioThreads },
        [raw = daemon.get()](HttpRequest request, const Responder &responder) {
            raw->dispatch(std::move(request), responder);
        });
    if (!server)
        return server.lastReason();
    daemon->server_ = *std::move(server);
    daemon->timeline_.record(EventId::ProcessStarted,
        { { "address", settings.advertise.value() },
            { "domain", settings.failureDomain.value() } });
    return daemon;
}

Daemon::~Daemon()
{
    server_.reset();
    workers_.reset();
    admission_.reset();
    node_.reset();
    timeline_.record(EventId::ProcessStopped);
}

void Daemon::dispatch(HttpRequest request, const Responder &responder)
{
    const std::string_view path = request.path();
    if (path.starts_with("/s/"))
        return runOnWorker(std::move(request), responder, &RequestHandler::handle);
    if (path == "/v1/lookup" && request.method == "GET")
        return responder(requests_->lookup(request));
    if (path == "/v1/operations" && request.method == "POST")
        return responder(requests_->issueOperation(request));
    if (path == "/v1/status" && request.method == "GET")
        return responder(statusReply(*node_, *admission_));
    if (path == "/v1/timeline" && request.method == "GET")
        return responder(timelineReply(*node_));
    if (path == "/metrics" && request.method == "GET")
        return responder(metricsReply(*node_, *admission_));
    if (path == "/healthz" && request.method == "GET")
        return responder(jsonReply(node_->view() ? 200 : 503,
            node_->view() ? "{\"healthy\":true}" : "{\"healthy\":false}"));
    if (path == "/v1/drain" && request.method == "POST")
        return responder(drainReply(request));
    responder(localReply(404, "not-run", "no_route"));
}

void Daemon::runOnWorker(HttpRequest request, const Responder &responder,
    HttpReply (RequestHandler::*handler)(const HttpRequest &))
{
    const HttpReply busyReply = RequestHandler::busyReply(request);
    const bool accepted
        = workers_->tryRun([this, request = std::move(request), responder, handler] {
              responder((requests_.get()->*handler)(request));
          });
    if (!accepted)
        responder(busyReply);
}

HttpReply Daemon::drainReply(const HttpRequest &request)
{
    if (!isDrainAuthorized(*node_, request))
        return localReply(401, "not-run", "operator");
    {
        const std::lock_guard lock(drainMutex_);
        drainRequested_ = true;
    }
    drainChanged_.notify_all();
    return localReply(200, "done", "");
}

void Daemon::awaitDrainRequest(const std::stop_token &stop)
{
    std::unique_lock lock(drainMutex_);
    drainChanged_.wait(lock, stop, [this] { return drainRequested_; });
}

void Daemon::drain()
{
    const SteadyClock clock;
    const Instant drainDeadline = clock.now() + settings_.drainTimeout;
    timeline_.record(EventId::ProcessStopping);
    node_->announceLeaving();
    std::this_thread::sleep_for(leavingNoticeDelay);
    requests_->stopAccepting();
    std::this_thread::sleep_for(quietPeriod);
    while (requests_->inProgress() > 0 && clock.now() < drainDeadline)
        std::this_thread::sleep_for(20ms);
    const bool released = node_->releaseCells(std::min(drainDeadline, clock.now() + 10s));
    timeline_.record(EventId::CellsReleased, { { "complete", released ? "true" : "false" } });
    const Instant quietDeadline = std::min(drainDeadline, clock.now() + quietTimeout);
    while (requests_->lastArrival() + quietPeriod > clock.now() && clock.now() < quietDeadline)
        std::this_thread::sleep_for(20ms);
}

} // namespace endivequay
