#include "load.h"

#include <asio.hpp>

#include <chrono>
#include <memory>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

/// One connection that repeats the request until the end.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(
        asio::io_context &context, const LoadPlan &plan, LoadResult &result, Clock::time_point end)
        : socket_(context)
        , plan_(plan)
        , result_(result)
        , end_(end)
    { }

    void start()
    {
        const asio::ip::tcp::endpoint target(asio::ip::make_address(plan_.host), plan_.port);
        socket_.async_connect(target, [self = shared_from_this()](const asio::error_code &error) {
            if (error)
                return self->fail();
            self->socket_.set_option(asio::ip::tcp::no_delay(true));
            self->send();
        });
    }

private:
    void fail() { ++result_.failures; }

    void send()
    {
        if (Clock::now() >= end_)
            return;
        asio::async_write(socket_, asio::buffer(plan_.request),
            [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                error ? self->fail() : self->readHeader();
            });
    }

    void readHeader()
    {
        asio::async_read_until(socket_, asio::dynamic_buffer(input_), "\r\n\r\n",
            [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                error ? self->fail() : self->readBody(size);
            });
    }

    void readBody(std::size_t headerSize)
    {
        const std::string_view header(input_.data(), headerSize);
        const auto at = header.find("Content-Length: ");
        if (at == std::string_view::npos)
            return fail();
        const std::size_t total = headerSize + std::strtoull(header.data() + at + 16, nullptr, 10);
        const bool good = header.starts_with("HTTP/1.1 200");
        const std::size_t missing = total > input_.size() ? total - input_.size() : 0;
        asio::async_read(socket_, asio::dynamic_buffer(input_), asio::transfer_exactly(missing),
            [self = shared_from_this(), total, good](const asio::error_code &error, std::size_t) {
                if (error)
                    return self->fail();
                self->input_.erase(0, total);
                ++(good ? self->result_.answers : self->result_.others);
                self->send();
            });
    }

    asio::ip::tcp::socket socket_;
    const LoadPlan &plan_;
    LoadResult &result_;
    const Clock::time_point end_;
    std::string input_;
};

} // namespace

LoadResult runLoad(const LoadPlan &plan)
{
    asio::io_context context;
    LoadResult result;
    const auto start = Clock::now();
    const auto end = start
        + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(plan.seconds));
    for (int i = 0; i < plan.connections; ++i)
        std::make_shared<Connection>(context, plan, result, end)->start();
    context.run();
    result.seconds = std::chrono::duration<double>(Clock::now() - start).count();
    return result;
}
