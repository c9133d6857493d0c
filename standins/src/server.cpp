#include "server.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <map>
#include <thread>

namespace endivequay {

namespace standins {

namespace {

// Responses to watches and to never_answer requests stay open for as long as a test runs.
constexpr auto maxResponseDuration = std::chrono::hours(24);

// No test sends as much as 100 documents of 1 MB in base64 in one change.
constexpr std::size_t maxBodyBytes = 64'000'000;

class CloseListener
{
public:
    void set(restinio::connection_id_t connection, std::function<void()> action)
    {
        actions_[connection] = std::move(action);
    }

    // NOLINTNEXTLINE(readability-identifier-naming): RESTinio calls it by this name.
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept
    {
        if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            return;
        const auto node = actions_.extract(notice.connection_id());
        if (!node.empty())
            node.mapped()();
    }

private:
    std::map<restinio::connection_id_t, std::function<void()>> actions_;
};

struct Traits : restinio::default_single_thread_traits_t
{
    using connection_state_listener_t = CloseListener;
};

using Server = restinio::http_server_t<Traits>;

class RestinioExchange : public Exchange
{
public:
    RestinioExchange(
        restinio::request_handle_t request, std::shared_ptr<CloseListener> closeListener)
        : request_(std::move(request))
        , closeListener_(std::move(closeListener))
    {
        const auto &head = request_->header();
        method = head.method().c_str();
        target = head.request_target();
        body = request_->body();
        head.for_each_field(
            [this](const auto &field) { headers.emplace_back(field.name(), field.value()); });
    }

    void respond(int status, const std::string &text, const Headers &extra) override
    {
        auto response = request_->create_response(restinio::http_status_line_t(
            restinio::http_status_code_t(static_cast<std::uint16_t>(status)), "-"));
        response.append_header(restinio::http_field::content_type, "application/json");
        for (const auto &[name, value] : extra)
            response.append_header(name, value);
        response.set_body(text).done();
    }

    void respondPartially(const std::string &text) override
    {
        auto response = request_->create_response<restinio::user_controlled_output_t>();
        response.set_content_length(text.size());
        response.set_body(text.substr(0, text.size() / 2)).connection_close().done();
    }

    void closeWithoutResponse() override
    {
        // RESTinio has no public call for this: write an empty final part that closes the
        // connection.
        auto connection = restinio::impl::access_req_connection(*request_);
        connection->write_response_parts(request_->request_id(),
            { restinio::response_parts_attr_t::final_parts,
                restinio::response_connection_attr_t::connection_close },
            restinio::write_group_t(restinio::writable_items_container_t {}));
    }

    void startStream() override
    {
        stream_
            = std::make_unique<Chunked>(request_->create_response<restinio::chunked_output_t>());
        stream_->append_header(restinio::http_field::content_type, "application/json");
        stream_->flush();
    }

    void stream(const std::string &piece) override
    {
        if (stream_)
            stream_->append_chunk(piece).flush();
    }

    void endStream() override
    {
        if (stream_)
            stream_->connection_close().done();
        stream_.reset();
    }

    void onClose(std::function<void()> action) override
    {
        closeListener_->set(request_->connection_id(), std::move(action));
    }

private:
    using Chunked = restinio::response_builder_t<restinio::chunked_output_t>;

    restinio::request_handle_t request_;
    std::shared_ptr<CloseListener> closeListener_;
    std::unique_ptr<Chunked> stream_;
};

class AsioScheduler : public Scheduler
{
public:
    explicit AsioScheduler(asio::io_context &io)
        : io_(io)
    { }

    void runAfter(Interval interval, std::function<void()> action) override
    {
        const auto timer = std::make_shared<asio::steady_timer>(io_, interval);
        timer->async_wait([timer, action = std::move(action)](std::error_code error) {
            if (!error)
                action();
        });
    }

private:
    asio::io_context &io_;
};

} // namespace

std::string Exchange::header(std::string_view name) const
{
    const auto hasName = [name](const auto &field) {
        return std::ranges::equal(field.first, name,
            [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    };
    const auto found = std::ranges::find_if(headers, hasName);
    return found == headers.end() ? std::string() : found->second;
}

std::string Exchange::path() const
{
    return target.substr(0, target.find('?'));
}

} // namespace standins

struct Standin::State
{
    State()
        : scheduler(io)
    { }
    ~State()
    {
        io.stop();
        if (thread.joinable())
            thread.join();
        if (service)
            service->close();
    }
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    // Declared first, so destroyed last: pending actions refer to the service and the exchanges.
    asio::io_context io { 1 };
    standins::AsioScheduler scheduler;
    std::shared_ptr<standins::Service> service;
    std::unique_ptr<standins::Server> server;
    Address address;
    std::thread thread;
};

Standin::Standin(std::unique_ptr<State> state)
    : state_(std::move(state))
{ }

Standin::~Standin() = default;
Standin::Standin(Standin &&) noexcept = default;
Standin &Standin::operator=(Standin &&) noexcept = default;

Address Standin::address() const
{
    return state_->address;
}

namespace standins {

namespace {

struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0;
};

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    Endpoint endpoint { text.substr(0, colon), 0 };
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return endpoint;
}

void openServer(Standin::State &state, const Endpoint &endpoint)
{
    const auto closeListener = std::make_shared<CloseListener>();
    const auto handle = [service = state.service, closeListener](
                            restinio::request_handle_t request) {
        service->handle(std::make_shared<RestinioExchange>(std::move(request), closeListener));
        return restinio::request_accepted();
    };
    const auto storeBoundAddress = [&state, &endpoint](asio::ip::tcp::acceptor &acceptor) {
        state.address
            = Address(endpoint.ip + ":" + std::to_string(acceptor.local_endpoint().port()));
    };
    restinio::server_settings_t<Traits> settings;
    settings.address(endpoint.ip)
        .port(endpoint.port)
        .request_handler(handle)
        .connection_state_listener(closeListener)
        .acceptor_post_bind_hook(storeBoundAddress)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t {}.max_body_size(maxBodyBytes))
        .handle_request_timeout(maxResponseDuration)
        // With a limit of 1, a client that disconnects while it waits would go unnoticed.
        .max_pipelined_requests(2);
    state.server
        = std::make_unique<Server>(restinio::external_io_context(state.io), std::move(settings));
    state.server->open_sync();
}

} // namespace

Result<Standin> startServer(const Address &listen, const ServiceFactory &makeService)
{
    const auto endpoint = parseEndpoint(listen.value());
    if (!endpoint)
        return Error { "standin.listen", listen.value(), "the address is not ip:port" };
    auto state = std::make_unique<Standin::State>();
    state->service = makeService(state->scheduler);
    try {
        openServer(*state, *endpoint);
    } catch (const std::exception &exception) {
        return Error { "standin.listen", listen.value(), exception.what() };
    }
    state->thread = std::thread([&io = state->io] { io.run(); });
    return Standin(std::move(state));
}

} // namespace standins

} // namespace endivequay
