#ifndef ENDIVEQUAY_EDGECONNECTION_H
#define ENDIVEQUAY_EDGECONNECTION_H

#include "endivequay/edgeserver.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>

namespace endivequay {

namespace detail {

/// Limit of concurrent requests on one connection.
inline constexpr std::size_t maxPipelinedRequests = 16;

/// Reading stops at this many unparsed bytes, while the pipeline of the connection is full.
inline constexpr std::size_t maxUnparsedBytes = std::size_t { 256 } * 1024;

/// Retry time of a request that finds no memory: stalled bodies have given way by then.
inline constexpr std::string_view refusalRetrySeconds = "1";

inline constexpr std::size_t readBufferBytes = std::size_t { 4 } * 1024; // Holds most requests.

/// A body that gets fewer bytes than this within stallTolerance stalls.
inline constexpr std::size_t minProgressBytes = 1024;

/// Bytes read from a client behind a refusal, so that it receives the refusal before the connection
/// closes. A client that goes on sending is not read any further.
inline constexpr std::size_t maxDiscardedBytes = std::size_t { 1024 } * 1024;

} // namespace detail

/// Connection of a client. Reads requests, passes them to the handlers and writes the responses in
/// order.
class EdgeServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(EdgeServer &server, asio::ip::tcp::socket socket)
        : server_(server)
        , socket_(std::move(socket))
        , parser_(HttpParser::Kind::Request, server.limits_.message)
        , inputBytes_(server.handlers_.budget)
        , outputBytes_(server.handlers_.budget)
        , lastActivityAt_(server.handlers_.now())
        , progressAt_(lastActivityAt_)
    {
        asio::error_code ignored; // The address only ranks clients.
        client_ = socket_.remote_endpoint(ignored).address();
    }

    void start() { read(); }

    void setResponse(ExchangeId exchange, HttpMessage response)
    {
        const auto found = std::ranges::find(pending_, exchange, &PendingRequest::id);
        if (found == pending_.end())
            return;
        found->response = std::move(response);
        writeResponses();
    }

    bool idle() const { return pending_.empty() && output_.empty() && !parser_.started(); }

    const asio::ip::address &client() const { return client_; }
    /// Whether a request body is unfinished.
    bool receivesBody() const { return !closing_ && parser_.started() && parser_.headerComplete(); }
    Instant progressAt() const { return progressAt_; }
    Instant lastActivityAt() const { return lastActivityAt_; }

    void advance(Instant now)
    {
        if (!output_.empty() && now - progressAt_ > server_.limits_.idleTimeout) {
            server_.countRejected("response_not_read");
            close();
            return;
        }
        if (!pending_.empty() || !output_.empty())
            return;
        const bool receiving = parser_.started() && !parser_.headerComplete();
        if (receiving && now - lastActivityAt_ > server_.limits_.headerTimeout)
            reject(408);
        else if (receivesBody() && now - progressAt_ > server_.limits_.idleTimeout)
            refuse(408, "stalled");
        else if (!receivesBody() && now - lastActivityAt_ > server_.limits_.idleTimeout)
            close();
    }

    void refuse(int status, std::string_view cause)
    {
        server_.countRejected(cause);
        reject(status);
    }

    void close()
    {
        if (closed_)
            return;
        closed_ = true;
        asio::error_code ignored; // The connection is abandoned in any case.
        socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
        const auto self = shared_from_this();
        for (const PendingRequest &pending : pending_)
            server_.exchanges_.erase(pending.id);
        for (const PendingRequest &pending : pending_)
            if (!pending.response)
                server_.handlers_.clientDisconnected(pending.id);
        pending_.clear();
        server_.connections_.erase(self);
    }

    /// Closes the connection without a word to the handlers, and gives its memory back.
    void abandon()
    {
        closed_ = true;
        asio::error_code ignored; // The connection is abandoned in any case.
        socket_.close(ignored);
        pending_.clear();
        inputBytes_ = ByteReservation();
        outputBytes_ = ByteReservation();
    }

private:
    struct PendingRequest
    {
        ExchangeId id = 0;
        bool keepAlive = true;
        bool head = false;
        std::optional<HttpMessage> response {};
        ByteReservation held {}; ///< Body of the request.
    };

    void read()
    {
        if (closed_ || reading_)
            return;
        reading_ = true;
        socket_.async_read_some(asio::buffer(readBuffer_),
            [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                self->reading_ = false;
                if (self->closed_)
                    return;
                if (error) {
                    self->close();
                    return;
                }
                self->received({ self->readBuffer_.data(), size });
            });
    }

    /// An exception closes this connection; the loop reports it.
    void received(std::string_view bytes)
    {
        try {
            if (closeAfterWrite_) {
                discardedBytes_ += bytes.size();
                if (discardedBytes_ < detail::maxDiscardedBytes)
                    read();
                return;
            }
            input_.append(bytes);
            noteProgress(bytes.size());
            parse();
            if (input_.size() < detail::maxUnparsedBytes)
                read();
        } catch (...) {
            close();
            throw;
        }
    }

    void noteProgress(std::size_t bytes)
    {
        progressBytes_ += bytes;
        if (progressBytes_ < detail::minProgressBytes)
            return;
        progressBytes_ = 0;
        progressAt_ = server_.handlers_.now();
    }

    /// Occupies memory for what is received and has not started.
    bool holdInput()
    {
        const std::size_t bytes = input_.size() + parser_.memory();
        while (!inputBytes_.resize(bytes))
            if (!server_.reclaimMemory(*this))
                return false;
        return true;
    }

    /// Whether the next request in the input may start now. While the server drains, the response
    /// to an open request closes the connection, and its client resends the requests behind it.
    bool mayStartNext() const
    {
        const bool closesNext = server_.draining_ && !pending_.empty();
        return !closing_ && !requestDeferred_ && !closesNext
            && pending_.size() < detail::maxPipelinedRequests;
    }

    void parse()
    {
        while (!closed_ && mayStartNext() && !input_.empty()) {
            if (!parser_.started())
                lastActivityAt_ = progressAt_ = server_.handlers_.now();
            const std::size_t used = parser_.feed(input_);
            input_.erase(0, used);
            if (parser_.headerComplete() && parser_.state() == HttpParser::State::Reading)
                sendContinue();
            switch (parser_.state()) {
            case HttpParser::State::Reading:
                if (!holdInput()) {
                    refuse(503, "no_memory");
                    return;
                }
                if (used == 0)
                    return;
                break;
            case HttpParser::State::Complete:
                requestComplete();
                break;
            case HttpParser::State::Malformed:
                refuse(400, "malformed");
                return;
            case HttpParser::State::HeaderTooLarge:
                refuse(431, "header_too_large");
                return;
            case HttpParser::State::BodyTooLarge:
                refuse(413, "body_too_large");
                return;
            }
        }
    }

    void sendContinue()
    {
        const std::string *expect = parser_.message().field("Expect");
        if (expect == nullptr || continueSent_ || !pending_.empty())
            return;
        continueSent_ = true;
        output_ += "HTTP/1.1 100 Continue\r\n\r\n";
        write();
    }

    void requestComplete()
    {
        HttpMessage message = std::move(parser_.message());
        // The client resends this request if a response before it closes the connection; a request
        // that is not idempotent must not run twice.
        if (!pending_.empty() && !server_.handlers_.isIdempotent(message)) {
            deferredRequest_ = std::move(message);
            requestDeferred_ = true;
            parser_.reset();
            return;
        }
        parser_.reset();
        begin(std::move(message));
    }

    void begin(HttpMessage message)
    {
        continueSent_ = false;
        const ExchangeId id = server_.nextExchangeId_++;
        ByteReservation held(server_.handlers_.budget);
        held.force(message.body.size() + message.fieldMemory());
        inputBytes_.force(input_.size());
        pending_.push_back(
            { id, message.keepAlive, message.method == "HEAD", {}, std::move(held) });
        closing_ = closing_ || !message.keepAlive;
        server_.exchanges_[id] = this;
        lastActivityAt_ = server_.handlers_.now();
        server_.handlers_.request(id, std::move(message));
    }

    void writeResponses()
    {
        while (!pending_.empty() && pending_.front().response) {
            const PendingRequest &pending = pending_.front();
            // Respond to all requests that were started before the connection closes.
            const bool isLast = pending_.size() == 1;
            const bool keepOpen = pending.keepAlive && !(server_.draining_ && isLast);
            output_ += serializeResponse(*pending.response, keepOpen, !pending.head);
            closing_ = closing_ || !keepOpen;
            closeAfterWrite_ = closeAfterWrite_ || !keepOpen;
            server_.exchanges_.erase(pending.id);
            pending_.pop_front();
            lastActivityAt_ = progressAt_ = server_.handlers_.now();
        }
        outputBytes_.force(output_.size());
        write();
        if (closed_ || closing_)
            return;
        if (requestDeferred_ && pending_.empty()) {
            requestDeferred_ = false;
            begin(std::move(deferredRequest_));
        }
        if (!input_.empty()) {
            // Parse asynchronously: the request handler may be the caller of this function.
            asio::post(socket_.get_executor(), [self = shared_from_this()] {
                if (self->closed_)
                    return;
                self->parse();
                if (self->input_.size() < detail::maxUnparsedBytes)
                    self->read();
            });
        }
    }

    void reject(int status)
    {
        closing_ = true;
        std::string().swap(input_); // Gives the memory back.
        inputBytes_.force(0);
        if (!pending_.empty()) {
            // Responses to earlier requests are sent first; the connection closes after the last.
            pending_.back().keepAlive = false;
            parser_.reset();
            return;
        }
        parser_.reset();
        HttpMessage response;
        response.status = status;
        if (status == 503)
            response.fields.push_back({ "Retry-After", std::string(detail::refusalRetrySeconds) });
        output_ += serializeResponse(response, false);
        closeAfterWrite_ = true;
        write();
    }

    void write()
    {
        if (closed_ || writing_)
            return;
        if (!output_.empty()) {
            asio::error_code error;
            const std::size_t written
                = socket_.write_some(asio::buffer(output_) + writtenBytes_, error);
            if (error && error != asio::error::would_block && error != asio::error::try_again) {
                closeAsync();
                return;
            }
            writtenBytes_ += written;
            if (written > 0)
                progressAt_ = server_.handlers_.now();
            if (writtenBytes_ == output_.size()) {
                output_.clear();
                output_.shrink_to_fit();
                outputBytes_.force(0);
                writtenBytes_ = 0;
            }
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
        } else if (closeAfterWrite_) {
            halfClose();
        }
    }

    /// Half-closes the connection, so that the response is delivered, and waits for the client to
    /// close its side.
    void halfClose()
    {
        asio::error_code ignored; // The next read reports a failure.
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        lastActivityAt_ = server_.handlers_.now();
        input_.clear();
        read();
    }

    void closeAsync()
    {
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
    }

    EdgeServer &server_;
    asio::ip::tcp::socket socket_;
    HttpParser parser_;
    std::array<char, detail::readBufferBytes> readBuffer_ {};
    std::string input_;
    std::string output_;
    std::size_t writtenBytes_ = 0; ///< Of output_.
    ByteReservation inputBytes_; ///< Input and unfinished request.
    ByteReservation outputBytes_;
    std::size_t discardedBytes_ = 0;
    asio::ip::address client_;
    std::deque<PendingRequest> pending_;
    HttpMessage deferredRequest_; ///< Starts when it is the first on the connection.
    bool requestDeferred_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool closing_ = false; ///< No further request is started on this connection.
    bool closeAfterWrite_ = false;
    bool continueSent_ = false;
    bool closed_ = false;
    Instant lastActivityAt_;
    Instant progressAt_; ///< Last time that the client sent or read a fair number of bytes.
    std::size_t progressBytes_ = 0; ///< Received since then.
};

} // namespace endivequay

#endif
