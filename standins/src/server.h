#ifndef ENDIVEQUAY_STANDINS_SERVER_H
#define ENDIVEQUAY_STANDINS_SERVER_H

#include "endivequay/clock.h"
#include "endivequay/standins.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivequay::standins {

using Json = nlohmann::json;

/// A client request together with the means to respond to it.
class Exchange
{
public:
    using Headers = std::vector<std::pair<std::string, std::string>>;

    virtual ~Exchange() = default;

    std::string method;
    std::string target; ///< Path with query.
    Headers headers;
    std::string body;

    /// Value of the header \a name (case-insensitive), or "".
    std::string header(std::string_view name) const;
    /// The path without query.
    std::string path() const;

    virtual void respond(int status, const std::string &text, const Headers &extra = {}) = 0;
    /// Sends the first half of a 200 response body, then closes the connection.
    virtual void respondPartially(const std::string &text) = 0;
    virtual void closeWithoutResponse() = 0;
    /// Starts a chunked 200 response; stream() appends to it.
    virtual void startStream() = 0;
    virtual void stream(const std::string &piece) = 0;
    virtual void endStream() = 0;
    /// Calls \a action when the connection closes; replaces the action of earlier requests on it.
    virtual void onClose(std::function<void()> action) = 0;

    void respondJson(int status, const Json &json, const Headers &extra = {})
    {
        respond(status, json.dump(-1, ' ', false, Json::error_handler_t::replace), extra);
    }
};

using ExchangePointer = std::shared_ptr<Exchange>;

/// Runs actions after a delay on the server's thread.
class Scheduler
{
public:
    virtual ~Scheduler() = default;
    virtual void runAfter(Interval interval, std::function<void()> action) = 0;
};

/// Handles the requests of one stand-in; called on the server's thread only.
class Service
{
public:
    virtual ~Service() = default;
    virtual void handle(const ExchangePointer &exchange) = 0;
    /// Releases all exchanges to break the reference cycle: each holds its connection, which holds
    /// the service.
    virtual void close() = 0;
};

using ServiceFactory = std::function<std::shared_ptr<Service>(Scheduler &)>;

/// Starts a server for the service that \a makeService returns.
Result<Standin> startServer(const Address &listen, const ServiceFactory &makeService);

} // namespace endivequay::standins

#endif
