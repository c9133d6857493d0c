#include "endivequay/edgeserver.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <vector>

namespace endivequay {

namespace {

/// Open requests of one connection that run side by side.
constexpr std::size_t pipelineDepth = 16;

/// Bytes that a client may send ahead while its pipeline is full.
constexpr std::size_t mostUnparsed = std::size_t { 256 } * 1024;

constexpr std::size_t readChunk = std::size_t { 4 } * 1024; // Most requests fit.

/// Connections that wait to be accepted: a burst of all clients of a failure domain.
constexpr int acceptBacklog = 512;

} // namespace

Result<asio::ip::tcp::endpoint> parseEndpoint(const Address &address)
{
    const std::string &text = address.value();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return Error { "address.parse", text, "is not ip:port" };
    asio::error_code error;
    const auto ip = asio::ip::make_address(text.substr(0, colon), error);
    const std::string digits = text.substr(colon + 1);
    const bool numeric = !digits.empty() && digits.size() <= 5
        && std::ranges::all_of(digits, [](char c) { return c >= '0' && c <= '9'; });
    const int port = numeric ? std::stoi(digits) : -1;
    if (error || port < 0 || port > 65535)
        return Error { "address.parse", text, "is not ip:port" };
    return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

Address addressOf(const asio::ip::tcp::endpoint &endpoint)
{
    return Address(endpoint.address().to_string() + ':' + std::to_string(endpoint.port()));
}

class EdgeServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(EdgeServer &server, asio::ip::tcp::socket socket)
        : server_(server)
        , socket_(std::move(socket))
        , parser_(HttpParser::Kind::Request, server.limits_.message)
        , activeAt_(server.handlers_.now())
    { }

    void start() { read(); }

    void answer(ExchangeId exchange, const HttpMessage &response)
    {
        const auto found = std::ranges::find(open_, exchange, &Open::id);
        if (found == open_.end())
            return;
        found->response = response;
        flushAnswers();
    }

    bool idle() const { return open_.empty() && output_.empty() && !parser_.started(); }

    void advance(Instant now)
    {
        if (!open_.empty() || !output_.empty())
            return;
        const bool receiving = parser_.started() && !parser_.headerComplete();
        if (receiving && now - activeAt_ > server_.limits_.headerTime)
            reject(408);
        else if (now - activeAt_ > server_.limits_.idleTime)
            close();
    }

    void close()
    {
        if (closed_)
            return;
        closed_ = true;
        asio::error_code ignored; // The connection is given up either way.
        socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
        const auto self = shared_from_this();
        for (const Open &open : open_)
            server_.exchanges_.erase(open.id);
        for (const Open &open : open_)
            if (!open.response)
                server_.handlers_.clientLeft(open.id);
        open_.clear();
        server_.connections_.erase(self);
    }

private:
    struct Open
    {
        ExchangeId id = 0;
        bool keepAlive = true;
        bool head = false;
        std::optional<HttpMessage> response;
    };

    void read()
    {
        if (closed_ || reading_)
            return;
        reading_ = true;
        socket_.async_read_some(asio::buffer(chunk_),
            [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                self->reading_ = false;
                if (self->closed_)
                    return;
                if (error) {
                    self->close();
                    return;
                }
                self->input_.append(self->chunk_.data(), size);
                self->parse();
                if (self->input_.size() < mostUnparsed)
                    self->read();
            });
    }

    /// Whether the next request in the input may start now. While the server stops, the answer to
    /// an open request closes the connection, and its client sends what is behind it again.
    bool mayStartNext() const
    {
        const bool lastOne = server_.draining_ && !open_.empty();
        return !closing_ && !blocked_ && !lastOne && open_.size() < pipelineDepth;
    }

    void parse()
    {
        while (!closed_ && mayStartNext() && !input_.empty()) {
            if (!parser_.started())
                activeAt_ = server_.handlers_.now();
            const std::size_t used = parser_.feed(input_);
            input_.erase(0, used);
            if (parser_.headerComplete() && parser_.state() == HttpParser::State::Reading)
                continueBody();
            switch (parser_.state()) {
            case HttpParser::State::Reading:
                if (used == 0)
                    return;
                break;
            case HttpParser::State::Complete:
                received();
                break;
            case HttpParser::State::Malformed:
                reject(400);
                return;
            case HttpParser::State::HeaderTooLarge:
                reject(431);
                return;
            case HttpParser::State::BodyTooLarge:
                reject(413);
                return;
            }
        }
    }

    void continueBody()
    {
        const std::string *expect = parser_.message().field("Expect");
        if (expect == nullptr || continued_ || !open_.empty())
            return;
        continued_ = true;
        output_ += "HTTP/1.1 100 Continue\r\n\r\n";
        write();
    }

    void received()
    {
        HttpMessage message = std::move(parser_.message());
        // A repetition of a request behind a closing answer must not run twice.
        if (!open_.empty() && !server_.handlers_.repeatable(message)) {
            held_ = std::move(message);
            blocked_ = true;
            parser_.reset();
            return;
        }
        parser_.reset();
        begin(std::move(message));
    }

    void begin(HttpMessage message)
    {
        continued_ = false;
        const ExchangeId id = server_.nextExchange_++;
        open_.push_back({ id, message.keepAlive, message.method == "HEAD", {} });
        closing_ = closing_ || !message.keepAlive;
        server_.exchanges_[id] = this;
        activeAt_ = server_.handlers_.now();
        server_.handlers_.request(id, std::move(message));
    }

    void flushAnswers()
    {
        while (!open_.empty() && open_.front().response) {
            const Open &open = open_.front();
            // Requests that were started are answered before the connection closes.
            const bool last = open_.size() == 1;
            const bool keep = open.keepAlive && !(server_.draining_ && last);
            output_ += serializeResponse(*open.response, keep, !open.head);
            closing_ = closing_ || !keep;
            closeAfterOutput_ = closeAfterOutput_ || !keep;
            server_.exchanges_.erase(open.id);
            open_.pop_front();
            activeAt_ = server_.handlers_.now();
        }
        write();
        if (closed_ || closing_)
            return;
        if (blocked_ && open_.empty()) {
            blocked_ = false;
            begin(std::move(held_));
        }
        if (!input_.empty()) {
            // Not from within the answer: the handler may be the caller.
            asio::post(socket_.get_executor(), [self = shared_from_this()] {
                if (self->closed_)
                    return;
                self->parse();
                if (self->input_.size() < mostUnparsed)
                    self->read();
            });
        }
    }

    void reject(int status)
    {
        closing_ = true;
        input_.clear();
        if (!open_.empty()) {
            // Answers of earlier requests come first; the connection ends after them.
            open_.back().keepAlive = false;
            parser_.reset();
            return;
        }
        HttpMessage response;
        response.status = status;
        output_ += serializeResponse(response, false);
        closeAfterOutput_ = true;
        write();
    }

    void write()
    {
        if (closed_ || writing_)
            return;
        if (!output_.empty()) {
            asio::error_code error;
            const std::size_t written = socket_.write_some(asio::buffer(output_), error);
            if (error && error != asio::error::would_block && error != asio::error::try_again) {
                closeLater();
                return;
            }
            output_.erase(0, written);
        }
        if (!output_.empty()) {
            writing_ = true;
            socket_.async_wait(asio::ip::tcp::socket::wait_write,
                [self = shared_from_this()](const asio::error_code &error) {
                    self->writing_ = false;
                    if (error)
                        self->close();
                    else
                        self->write();
                });
        } else if (closeAfterOutput_) {
            finishClosing();
        }
    }

    /// Half-closes, so that the answer arrives, and waits for the client to close.
    void finishClosing()
    {
        asio::error_code ignored; // A failure shows at the next read.
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        activeAt_ = server_.handlers_.now();
        input_.clear();
        read();
    }

    void closeLater()
    {
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
    }

    EdgeServer &server_;
    asio::ip::tcp::socket socket_;
    HttpParser parser_;
    std::array<char, readChunk> chunk_ {};
    std::string input_;
    std::string output_;
    std::deque<Open> open_;
    HttpMessage held_; ///< Waits until it is the first on the connection.
    bool blocked_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool closing_ = false; ///< No further request is started.
    bool closeAfterOutput_ = false;
    bool continued_ = false;
    bool closed_ = false;
    Instant activeAt_;
};

EdgeServer::EdgeServer(asio::io_context &loop, ServerLimits limits, Handlers handlers)
    : acceptor_(loop)
    , limits_(limits)
    , handlers_(std::move(handlers))
{ }

EdgeServer::~EdgeServer() = default;

Result<std::unique_ptr<EdgeServer>> EdgeServer::listen(
    asio::io_context &loop, const Address &address, ServerLimits limits, Handlers handlers)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return endpoint.lastReason();
    std::unique_ptr<EdgeServer> server(new EdgeServer(loop, limits, std::move(handlers)));
    asio::error_code error;
    auto &acceptor = server->acceptor_;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(acceptBacklog, error);
    if (error)
        return Error { "server.listen", address.value(), error.message() };
    server->accept();
    return server;
}

Address EdgeServer::address() const
{
    return addressOf(acceptor_.local_endpoint());
}

void EdgeServer::accept()
{
    acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open())
            return;
        if (!error) {
            asio::error_code ignored; // Options only improve latency.
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            socket.non_blocking(true, ignored);
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            connections_.insert(connection);
            connection->start();
        }
        accept();
    });
}

void EdgeServer::respond(ExchangeId exchange, const HttpMessage &response)
{
    const auto found = exchanges_.find(exchange);
    if (found != exchanges_.end())
        found->second->answer(exchange, response);
}

void EdgeServer::abort(ExchangeId exchange)
{
    const auto found = exchanges_.find(exchange);
    if (found != exchanges_.end())
        found->second->close();
}

void EdgeServer::advance(Instant now)
{
    const std::vector<std::shared_ptr<Connection>> copy(connections_.begin(), connections_.end());
    std::ranges::for_each(copy, [&](const auto &connection) { connection->advance(now); });
}

void EdgeServer::closeIdle()
{
    asio::error_code ignored; // The process is about to end.
    acceptor_.close(ignored);
    const std::vector<std::shared_ptr<Connection>> copy(connections_.begin(), connections_.end());
    std::ranges::for_each(copy, [](const auto &connection) {
        if (connection->idle())
            connection->close();
    });
}

} // namespace endivequay
