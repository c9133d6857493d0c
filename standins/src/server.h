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

/// A request of a client together with the means to answer it.
class Exchange
{
public:
    using Headers = std::vector<std::pair<std::string, std::string>>;

    virtual ~Exchange() = default;

    std::string method;
    std::string target; ///< Path with query.
    Headers headers;
    std::string body;

    /// Value of the header \a name in any letter case, or "".
    std::string header(std::string_view name) const;
    /// The path without query.
    std::string path() const;

    virtual void answer(int status, const std::string &text, const Headers &extra = {}) = 0;
    /// Sends the first half of a 200 answer, then closes the connection.
    virtual void answerPartly(const std::string &text) = 0;
    virtual void closeWithoutAnswer() = 0;
    /// Starts a 200 answer of unknown length; stream() adds to it.
    virtual void startStream() = 0;
    virtual void stream(const std::string &piece) = 0;
    virtual void endStream() = 0;
    /// Calls \a action when the connection closes; replaces that of its earlier requests.
    virtual void whenClosed(std::function<void()> action) = 0;

    void answerJson(int status, const Json &json, const Headers &extra = {})
    {
        answer(status, json.dump(-1, ' ', false, Json::error_handler_t::replace), extra);
    }
};

using ExchangePointer = std::shared_ptr<Exchange>;

/// Runs actions later on the server's thread.
class Scheduler
{
public:
    virtual ~Scheduler() = default;
    virtual void after(Interval interval, std::function<void()> action) = 0;
};

/// Answers the requests of one stand-in; called on the server's thread only.
class Service
{
public:
    virtual ~Service() = default;
    virtual void handle(const ExchangePointer &exchange) = 0;
};

using ServiceFactory = std::function<std::shared_ptr<Service>(Scheduler &)>;

/// Starts a server for the service that \a makeService returns.
Result<Standin> startServer(const Address &listen, const ServiceFactory &makeService);

} // namespace endivequay::standins

#endif
