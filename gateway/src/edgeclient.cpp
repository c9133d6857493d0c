#include "endivequay/edgeclient.h"

#include "endivequay/digest.h"
#include "endivequay/edgeserver.h"

#include <asio/post.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <netinet/tcp.h>

namespace endivequay {

namespace {

constexpr std::size_t readBufferBytes = std::size_t { 8 } * 1024; // Holds most responses.

/// An idle connection is not reused this shortly before its idle timeout: the server may be closing
/// it.
constexpr Interval idleMargin = std::chrono::milliseconds(1000);

/// Calls whose ids a connection remembers. Late copies belong to recent calls.
constexpr std::size_t recentCallCount = 16;

/// TCP keep-alive: probe interval, and number of unanswered probes after which a connection fails.
constexpr int probeIntervalSeconds = 1;
constexpr int probeCount = 2;

void setOption(int socket, int option, int value)
{
    // Best effort: without the option a dead connection is detected only at the call's deadline.
    (void)setsockopt(socket, IPPROTO_TCP, option, &value, sizeof value);
}

/// Idle timeout that the server announces with "Keep-Alive: timeout=N".
std::optional<Interval> serverIdleTimeout(const HttpMessage &response)
{
    const std::string *value = response.field("Keep-Alive");
    if (value == nullptr)
        return std::nullopt;
    const auto at = value->find("timeout=");
    if (at == std::string::npos)
        return std::nullopt;
    int seconds = 0;
    const char *begin = value->data() + at + std::string_view("timeout=").size();
    const auto result = std::from_chars(begin, value->data() + value->size(), seconds);
    return result.ec == std::errc {} ? std::optional<Interval>(std::chrono::seconds(seconds))
                                     : std::nullopt;
}

} // namespace

class EdgeClient::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(EdgeClient &client, Address address)
        : client_(client)
        , address_(std::move(address))
        , socket_(client.loop_)
        , parser_(HttpParser::Kind::Response, client.limits_.message)
        , held_(client.limits_.budget)
    { }

    /// Gives the memory back. The connection is not used any more.
    void releaseMemory() { held_ = ByteReservation(); }

    void connect(const asio::ip::tcp::endpoint &endpoint)
    {
        asio::error_code error;
        socket_.open(endpoint.protocol(), error);
        if (error) {
            failAsync(CallResult::Kind::NotConnected, error.message());
            return;
        }
        asio::error_code ignored; // The options only improve latency and failure detection.
        socket_.non_blocking(true, ignored);
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        socket_.set_option(asio::socket_base::keep_alive(true), ignored);
        const auto unacknowledgedTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(
            client_.limits_.unacknowledgedTimeout);
        setOption(socket_.native_handle(), TCP_USER_TIMEOUT,
            static_cast<int>(unacknowledgedTimeout.count()));
        setOption(socket_.native_handle(), TCP_KEEPIDLE, probeIntervalSeconds);
        setOption(socket_.native_handle(), TCP_KEEPINTVL, probeIntervalSeconds);
        setOption(socket_.native_handle(), TCP_KEEPCNT, probeCount);
        ++client_.openedConnections_;
        connectDeadline_ = client_.now_() + client_.limits_.connectTimeout;
        socket_.async_connect(
            endpoint, [self = shared_from_this()](const asio::error_code &connectError) {
                if (self->closed_)
                    return;
                if (connectError) {
                    self->fail(CallResult::Kind::NotConnected, connectError.message());
                    return;
                }
                self->connected_ = true;
                self->write();
                self->read();
            });
    }

    void begin(CallId id, HttpCall call, Callback done)
    {
        id_ = id;
        call_ = std::move(call);
        done_ = std::move(done);
        recentIds_[nextRecentId_++ % recentCallCount] = hash64(call_.id);
        output_ = std::move(call_.bytes);
        body_ = std::move(call_.body);
        writtenBytes_ = 0;
        sent_ = false;
        skippedResponses_ = 0;
        resetParser();
        if (call_.head)
            parser_.expectNoBody();
        if (connected_)
            write();
    }

    bool busy() const { return id_ != 0; }
    /// Whether a recent call on this connection had the same id. A late copy of its response could
    /// not be told from the response to \a call.
    bool hadCallLike(const HttpCall &call) const
    {
        return !call.id.empty()
            && std::ranges::find(recentIds_, hash64(call.id)) != recentIds_.end();
    }
    bool closed() const { return closed_; }
    const Address &address() const { return address_; }
    Instant idleUntil() const { return idleUntil_; }
    std::size_t bufferedBytes() const { return bufferedBytes_; }
    void failForMemory()
    {
        fail(CallResult::Kind::Broken, "too many bytes of unfinished responses");
    }

    void failAsync(CallResult::Kind kind, std::string reason)
    {
        asio::post(client_.loop_, [self = shared_from_this(), kind, reason = std::move(reason)] {
            self->fail(kind, reason);
        });
    }

    void advance(Instant now)
    {
        if (!connected_ && now >= connectDeadline_)
            fail(CallResult::Kind::NotConnected, "connect timed out");
        else if (busy() && now >= call_.deadline)
            fail(CallResult::Kind::TimedOut, "timed out waiting for the response");
    }

    void close()
    {
        if (closed_)
            return;
        closed_ = true;
        asio::error_code ignored; // The connection is abandoned in any case.
        // After an orderly close the kernel goes on sending bytes that a partition holds up, and
        // the upstream would get the request seconds after its caller got an answer.
        if (busy())
            socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
        setBufferedBytes(0);
        client_.remove(*this);
        id_ = 0;
    }

private:
    /// Closes the connection and reports the failure of its open call, if any.
    void fail(CallResult::Kind kind, const std::string &reason)
    {
        if (closed_)
            return;
        const auto self = shared_from_this();
        const bool hasCall = busy();
        const Callback done = std::move(done_);
        const bool sent = sent_;
        close();
        if (hasCall)
            done({ kind, sent, {}, reason });
    }

    void write()
    {
        if (closed_ || writing_ || unwrittenBytes() == 0)
            return;
        asio::error_code error;
        const std::string_view head
            = std::string_view(output_).substr(std::min(writtenBytes_, output_.size()));
        const std::string_view body = body_ == nullptr
            ? std::string_view {}
            : std::string_view(*body_).substr(writtenBytes_ - (output_.size() - head.size()));
        const std::array buffers { asio::buffer(head), asio::buffer(body) };
        const std::size_t written = socket_.write_some(buffers, error);
        if (error && error != asio::error::would_block && error != asio::error::try_again) {
            failAsync(CallResult::Kind::Broken, error.message());
            return;
        }
        sent_ = sent_ || written > 0;
        writtenBytes_ += written;
        if (unwrittenBytes() == 0) {
            body_.reset();
            output_.clear();
            writtenBytes_ = 0;
            return;
        }
        writing_ = true;
        socket_.async_wait(asio::ip::tcp::socket::wait_write,
            [self = shared_from_this()](const asio::error_code &waitError) {
                self->writing_ = false;
                if (!waitError)
                    self->write();
            });
    }

    std::size_t unwrittenBytes() const
    {
        return output_.size() + (body_ == nullptr ? 0 : body_->size()) - writtenBytes_;
    }

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
                if (error)
                    self->handleReadError(error);
                else
                    self->received({ self->readBuffer_.data(), size });
                self->read();
            });
    }

    void handleReadError(const asio::error_code &error)
    {
        if (busy() && error == asio::error::eof && parser_.started()) {
            parser_.finish();
            if (parser_.state() == HttpParser::State::Complete && matchesCall()) {
                parser_.message().keepAlive = false;
                complete(false);
                return;
            }
        }
        fail(CallResult::Kind::Broken, error.message());
    }

    void received(std::string_view bytes)
    {
        if (!busy()) {
            close(); // The bytes belong to no request.
            return;
        }
        while (!bytes.empty()) {
            bytes.remove_prefix(parser_.feed(bytes));
            setBufferedBytes(parser_.memory());
            if (parser_.state() == HttpParser::State::Reading) {
                client_.limitBufferedBytes();
                return;
            }
            if (parser_.state() != HttpParser::State::Complete) {
                fail(CallResult::Kind::Broken, "malformed or too large response");
                return;
            }
            if (matchesCall()) {
                complete(!bytes.empty());
                return;
            }
            if (!parser_.message().keepAlive) {
                fail(CallResult::Kind::Broken,
                    "server closed the connection after a response to another request");
                return;
            }
            if (++skippedResponses_ > client_.limits_.maxSkippedResponses) {
                fail(CallResult::Kind::Broken, "too many responses to other requests");
                return;
            }
            resetParser();
            if (call_.head)
                parser_.expectNoBody();
        }
    }

    void resetParser()
    {
        parser_.reset();
        setBufferedBytes(0);
    }

    void setBufferedBytes(std::size_t bytes)
    {
        client_.bufferedBytes_ += bytes - bufferedBytes_;
        bufferedBytes_ = bytes;
        held_.force(bytes);
    }

    bool matchesCall()
    {
        const HttpMessage &response = parser_.message();
        if (response.status < 200)
            return false; // Interim response.
        if (call_.idField.empty())
            return true;
        if (response.field(call_.idField) != nullptr)
            return std::ranges::all_of(response.fields, [&](const HttpField &field) {
                return !equalIgnoringCase(field.name, call_.idField) || field.value == call_.id;
            });
        return isFirstCall_
            && (response.field(call_.notRunField) != nullptr || response.status == 421);
    }

    void complete(bool hasExcessBytes)
    {
        const auto self = shared_from_this();
        CallResult result { CallResult::Kind::Response, true, std::move(parser_.message()), {} };
        const Callback done = std::move(done_);
        // After a response that precedes the end of the request the connection state is unknown.
        const bool reusable = result.response.keepAlive && !hasExcessBytes && unwrittenBytes() == 0;
        const Interval serverTimeout
            = serverIdleTimeout(result.response).value_or(client_.limits_.idleTimeout + idleMargin);
        idleUntil_
            = client_.now_() + std::min(client_.limits_.idleTimeout, serverTimeout - idleMargin);
        client_.calls_.erase(id_);
        id_ = 0;
        isFirstCall_ = false;
        resetParser();
        if (reusable && idleUntil_ > client_.now_())
            client_.addIdle(self);
        else
            close();
        done(std::move(result));
    }

    EdgeClient &client_;
    const Address address_;
    asio::ip::tcp::socket socket_;
    HttpParser parser_;
    std::array<char, readBufferBytes> readBuffer_ {};
    std::string output_;
    std::shared_ptr<const std::string> body_; ///< Follows output_.
    std::size_t writtenBytes_ = 0; ///< Of output_ and body_.
    std::array<std::uint64_t, recentCallCount> recentIds_ {}; ///< Hashes; a ring buffer.
    std::size_t nextRecentId_ = 0;
    CallId id_ = 0; ///< 0: idle.
    HttpCall call_;
    Callback done_;
    Instant connectDeadline_;
    Instant idleUntil_;
    std::size_t bufferedBytes_ = 0; ///< Memory of the unfinished response.
    ByteReservation held_; ///< The same bytes.
    int skippedResponses_ = 0; ///< For the current call.
    bool isFirstCall_ = true; ///< No response was completed on this connection.
    bool connected_ = false;
    bool sent_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool closed_ = false;

    friend class EdgeClient;
};

EdgeClient::EdgeClient(asio::io_context &loop, Limits limits, std::function<Instant()> now)
    : loop_(loop)
    , limits_(limits)
    , now_(std::move(now))
{ }

EdgeClient::~EdgeClient()
{
    // Pending operations of the event loop may keep connections longer than the budget lives.
    for (const auto &[id, connection] : calls_)
        connection->releaseMemory();
    for (const auto &[address, connections] : idle_)
        std::ranges::for_each(
            connections, [](const auto &connection) { connection->releaseMemory(); });
}

std::shared_ptr<EdgeClient::Connection> EdgeClient::takeIdleConnection(const HttpCall &call)
{
    const auto found = idle_.find(call.address);
    if (found == idle_.end())
        return nullptr;
    auto &connections = found->second;
    const Instant now = now_();
    // The most recently used one; the others end when they have been idle too long.
    const auto usable = std::ranges::find_if(
        connections.rbegin(), connections.rend(), [&](const auto &connection) {
            return connection->idleUntil() > now && !connection->hadCallLike(call);
        });
    if (usable == connections.rend())
        return nullptr;
    auto connection = *usable;
    connections.erase(std::next(usable).base());
    return connection;
}

CallId EdgeClient::send(HttpCall call, Callback done)
{
    const CallId id = nextCallId_++;
    const Address address = call.address;
    auto connection = call.mayReuse ? takeIdleConnection(call) : nullptr;
    const bool reused = connection != nullptr;
    if (!reused)
        connection = std::make_shared<Connection>(*this, address);
    calls_[id] = connection;
    connection->begin(id, std::move(call), std::move(done));
    if (!reused)
        connect(connection);
    return id;
}

void EdgeClient::connect(const std::shared_ptr<Connection> &connection)
{
    const auto endpoint = parseEndpoint(connection->address());
    if (endpoint)
        connection->connect(*endpoint);
    else
        connection->failAsync(CallResult::Kind::NotConnected, toString(endpoint.lastReason()));
}

void EdgeClient::cancel(CallId call)
{
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
        const auto connection = found->second;
        connection->close();
    }
}

void EdgeClient::addIdle(const std::shared_ptr<Connection> &connection)
{
    auto &connections = idle_[connection->address()];
    connections.push_back(connection);
    if (connections.size() > limits_.maxIdlePerAddress) {
        const auto oldest = connections.front();
        oldest->close();
    }
}

void EdgeClient::remove(Connection &connection)
{
    if (connection.busy())
        calls_.erase(connection.id_);
    const auto found = idle_.find(connection.address());
    if (found == idle_.end())
        return;
    std::erase_if(found->second, [&](const auto &other) { return other.get() == &connection; });
    if (found->second.empty())
        idle_.erase(found);
}

void EdgeClient::limitBufferedBytes()
{
    while (bufferedBytes_ > limits_.bufferedBytes) {
        const auto largest = std::ranges::max_element(
            calls_, {}, [](const auto &call) { return call.second->bufferedBytes(); });
        if (largest == calls_.end()
            || largest->second->bufferedBytes() <= limits_.smallResponseBytes)
            return;
        const auto connection = largest->second; // Its failure removes the call.
        connection->failForMemory();
    }
}

void EdgeClient::advance(Instant now)
{
    std::vector<std::shared_ptr<Connection>> toCheck;
    std::ranges::transform(
        calls_, std::back_inserter(toCheck), [](const auto &call) { return call.second; });
    for (const auto &[address, connections] : idle_)
        std::ranges::copy_if(connections, std::back_inserter(toCheck),
            [&](const auto &connection) { return connection->idleUntil() <= now; });
    for (const auto &connection : toCheck) {
        if (connection->busy())
            connection->advance(now);
        else
            connection->close();
    }
}

} // namespace endivequay
