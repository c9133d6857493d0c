#ifndef ENDIVEQUAY_DAEMON_HTTPSERVER_H
#define ENDIVEQUAY_DAEMON_HTTPSERVER_H

#include "endivequay/result.h"
#include "endivequay/types.h"
#include "http.h"

#include <memory>

namespace endivequay {

/// HTTP/1.1 server on RESTinio.
class HttpServer
{
public:
    struct Settings
    {
        Address listen;
        int threads = 1;
        std::size_t maxBodyBytes = 4'000'000;
    };

    /// Called on a thread of the server; must not block. The responder may be called later.
    using Handler = std::function<void(HttpRequest, Responder)>;

    /// Binds \a settings.listen and starts serving.
    static Result<std::unique_ptr<HttpServer>> start(const Settings &settings, Handler handler);
    /// Closes all connections.
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    struct State;
    explicit HttpServer(std::unique_ptr<State> state);

    std::unique_ptr<State> state_;
};

} // namespace endivequay

#endif
