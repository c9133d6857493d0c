#include "httpserver.h"

#include <fmt/format.h>
#include <restinio/all.hpp>

#include <algorithm>
#include <cctype>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace endivequay {

namespace {

// A connection on which no request arrives for this long is closed.
constexpr auto readTimeout = std::chrono::seconds(60);
// Longer than the longest request, so that no response in progress is cut off.
constexpr auto handleTimeout = std::chrono::seconds(120);

/// Stop sources of the requests in progress, by connection.
class Cancellations
{
public:
    std::stop_token add(std::uint64_t connection, std::uint64_t request)
    {
        const std::lock_guard lock(mutex_);
        return sources_[connection][request].get_token();
    }

    void remove(std::uint64_t connection, std::uint64_t request)
    {
        const std::lock_guard lock(mutex_);
        const auto found = sources_.find(connection);
        if (found == sources_.end())
            return;
        found->second.erase(request);
        if (found->second.empty())
            sources_.erase(found);
    }

    void cancel(std::uint64_t connection)
    {
        std::unordered_map<std::uint64_t, std::stop_source> cancelled;
        {
            const std::lock_guard lock(mutex_);
            if (const auto found = sources_.find(connection); found != sources_.end()) {
                cancelled = std::move(found->second);
                sources_.erase(found);
            }
        }
        for (auto &[request, source] : cancelled)
            source.request_stop();
    }

private:
    std::mutex mutex_;
    std::unordered_map<std::uint64_t, std::unordered_map<std::uint64_t, std::stop_source>> sources_;
};

/// Cancels the requests of a connection that the caller has closed.
class ConnectionListener
{
public:
    explicit ConnectionListener(Cancellations &cancellations)
        : cancellations_(&cancellations)
    { }

    // The name is RESTinio's. NOLINTNEXTLINE(readability-identifier-naming)
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept
    {
        if (restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            cancellations_->cancel(notice.connection_id());
    }

private:
    Cancellations *cancellations_;
};

// On a malformed request RESTinio closes the connection without a response and reports the parse
// error only to its logger. This flag makes the socket send a 400 response during the close that
// follows on the same thread.
thread_local bool malformedRequest = false;

/// RESTinio logger that sets malformedRequest on parse errors and writes no log.
class ParseErrorLogger
{
public:
    template <class Builder>
    void trace(Builder &&) const noexcept
    { }
    template <class Builder>
    void info(Builder &&) const noexcept
    { }
    template <class Builder>
    void warn(Builder &&) const noexcept
    { }
    template <class Builder>
    void error(Builder &&builder) const
    {
        const std::string text = builder();
        malformedRequest = text.find("parser error") != std::string::npos;
    }
};

constexpr std::string_view badRequest = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
                                        "Endivequay-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";

/// Sends a 400 response when RESTinio closes the connection because of a parse error.
class CallerSocket : public asio::ip::tcp::socket
{
public:
    using asio::ip::tcp::socket::socket;

    void shutdown(shutdown_type what, asio::error_code &error)
    {
        if (std::exchange(malformedRequest, false))
            asio::write(*this, asio::buffer(badRequest.data(), badRequest.size()), error);
        asio::ip::tcp::socket::shutdown(what, error);
    }
};

/// Whether all header names are tokens (RFC 9110, section 5.6.2). The parser accepts spaces in
/// names, which an upstream may parse as a different name.
bool headerNamesAreTokens(const HttpHeaders &headers)
{
    constexpr std::string_view tokenPunctuation = "!#$%&'*+-.^_`|~";
    return std::ranges::all_of(headers, [&](const auto &header) {
        return !header.first.empty() && std::ranges::all_of(header.first, [&](unsigned char c) {
            return std::isalnum(c) != 0
                || tokenPunctuation.find(static_cast<char>(c)) != tokenPunctuation.npos;
        });
    });
}

/// Whether a header value contains the name of the API key header. The parser appends a folded line
/// (RFC 9112, section 5.2) to the preceding value, so an API key on such a line would reach the
/// upstream inside another header.
bool containsKeyHeaderName(const HttpHeaders &headers)
{
    constexpr std::string_view name = "endivequay-key";
    return std::ranges::any_of(headers, [&](const auto &header) {
        std::string value = header.second;
        std::ranges::transform(
            value, value.begin(), [](unsigned char c) { return c == '_' ? '-' : std::tolower(c); });
        return value.find(name) != std::string::npos;
    });
}

// The names in traits are RESTinio's.
// NOLINTBEGIN(readability-identifier-naming)
struct Traits : restinio::traits_t<restinio::asio_timer_manager_t, ParseErrorLogger>
{
    using stream_socket_t = CallerSocket;
    using request_handler_t
        = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    using connection_state_listener_t = ConnectionListener;
};
// NOLINTEND(readability-identifier-naming)

std::string reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

HttpRequest toRequest(const restinio::request_handle_t &handle)
{
    HttpRequest request;
    request.method = handle->header().method().c_str();
    request.target = handle->header().request_target();
    handle->header().for_each_field([&](const restinio::http_header_field_t &field) {
        request.headers.emplace_back(field.name(), field.value());
    });
    request.body = handle->body();
    request.remoteAddress = handle->remote_endpoint().address().to_string();
    request.receivedAt = SteadyClock().now();
    return request;
}

void respond(const restinio::request_handle_t &handle, HttpReply reply)
{
    auto response = handle->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<std::uint16_t>(reply.status)),
        reasonPhrase(reply.status)));
    for (auto &[name, value] : reply.headers) {
        if (!isSameHeaderName(name, "Content-Length"))
            response.append_header(std::move(name), std::move(value));
    }
    if (reply.close)
        response.connection_close();
    response.set_body(std::move(reply.body));
    response.done();
}

} // namespace

struct HttpServer::State
{
    using Server = restinio::http_server_t<Traits>;

    asio::io_context context;
    Cancellations cancellations;
    std::unique_ptr<Server> server;
    std::vector<std::jthread> threads;
};

HttpServer::HttpServer(std::unique_ptr<State> state)
    : state_(std::move(state))
{ }

HttpServer::~HttpServer()
{
    asio::post(state_->context, [state = state_.get()] {
        state->server->close_sync();
        state->context.stop();
    });
    state_->threads.clear();
}

Result<std::unique_ptr<HttpServer>> HttpServer::start(const Settings &settings, Handler handler)
{
    const std::string &address = settings.listen.value();
    const auto colon = address.rfind(':');
    auto state = std::make_unique<State>();
    const auto handle = [handler = std::move(handler), cancellations = &state->cancellations](
                            const restinio::request_handle_t &raw) {
        HttpRequest request = toRequest(raw);
        if (!headerNamesAreTokens(request.headers) || containsKeyHeaderName(request.headers)) {
            HttpReply reply = localReply(400, "not-run", "malformed_headers");
            reply.close = true;
            respond(raw, std::move(reply));
            return restinio::request_accepted();
        }
        request.cancelled = cancellations->add(raw->connection_id(), raw->request_id());
        handler(std::move(request), [raw, cancellations](HttpReply reply) {
            cancellations->remove(raw->connection_id(), raw->request_id());
            respond(raw, std::move(reply));
        });
        return restinio::request_accepted();
    };
    try {
        restinio::server_settings_t<Traits> options;
        options.address(address.substr(0, colon))
            .port(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))))
            .request_handler(handle)
            .connection_state_listener(std::make_shared<ConnectionListener>(state->cancellations))
            .read_next_http_message_timelimit(readTimeout)
            .handle_request_timeout(handleTimeout)
            // With 2, a read stays pending while a request is handled, so that a disconnect is
            // detected.
            .max_pipelined_requests(2)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t {}.max_body_size(settings.maxBodyBytes))
            .buffer_size(std::size_t { 16 } * 1024)
            .socket_options_setter([](restinio::socket_options_t &socket) {
                socket.set_option(asio::ip::tcp::no_delay(true));
            });
        state->server = std::make_unique<State::Server>(
            restinio::external_io_context(state->context), std::move(options));
        state->server->open_sync();
    } catch (const std::exception &error) {
        return Error { "http.listen", address, error.what() };
    }
    for (int i = 0; i < settings.threads; ++i)
        state->threads.emplace_back([context = &state->context] { context->run(); });
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

} // namespace endivequay
