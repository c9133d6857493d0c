#ifndef ENDIVEQUAY_DAEMON_DAEMON_H
#define ENDIVEQUAY_DAEMON_DAEMON_H

#include "admission.h"
#include "httpserver.h"
#include "node.h"
#include "requests.h"
#include "settings.h"

#include <condition_variable>
#include <memory>

namespace endivequay {

/// One entry instance: coordination, admission and the HTTP server for callers.
class Daemon
{
public:
    static Result<std::unique_ptr<Daemon>> start(const Settings &settings);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Graceful shutdown: withdraws from look-ups, waits for the requests in progress and releases
    /// the cells. Returns when that is done or the drain timeout has passed.
    void drain();
    /// Blocks until an operator requests a drain over HTTP or \a stop is requested.
    void awaitDrainRequest(const std::stop_token &stop);

private:
    explicit Daemon(const Settings &settings);
    void dispatch(HttpRequest request, const Responder &responder);
    void runOnWorker(HttpRequest request, const Responder &responder,
        HttpReply (RequestHandler::*handler)(const HttpRequest &));
    HttpReply drainReply(const HttpRequest &request);

    const Settings settings_;
    Timeline timeline_;
    Metrics metrics_;
    std::unique_ptr<Node> node_;
    std::unique_ptr<Admission> admission_;
    std::unique_ptr<RequestHandler> requests_;
    std::unique_ptr<WorkerPool> workers_;
    std::unique_ptr<HttpServer> server_;
    std::mutex drainMutex_;
    std::condition_variable_any drainChanged_;
    bool drainRequested_ = false;
};

} // namespace endivequay

#endif
