#include "load.h"

#include <asio.hpp>

#include <chrono>
#include <memory>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

/// A keep-alive connection that repeats the request until the end of the run.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::io_context &context, const LoadOptions &options, LoadResult &result,
        Clock::time_point end)
        : socket_(context)
        , options_(options)
        , result_(result)
        , end_(end)
    { }

    void start()
    {
        const asio::ip::tcp::endpoint target(asio::ip::make_address(options_.host), options_.port);
        socket_.async_connect(target, [self = shared_from_this()](const asio::error_code &error) {
            if (error)
                return self->fail();
            self->socket_.set_option(asio::ip::tcp::no_delay(true));
            self->send();
        });
    }

private:
    void fail() { ++result_.connectionFailures; }

    void send()
    {
        if (Clock::now() >= end_)
            return;
        asio::async_write(socket_, asio::buffer(options_.request),
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
        const auto fieldStart = header.find("Content-Length: ");
        if (fieldStart == std::string_view::npos)
            return fail();
        const std::size_t total
            = headerSize + std::strtoull(header.data() + fieldStart + 16, nullptr, 10);
        const bool isSuccess = header.starts_with("HTTP/1.1 200");
        const std::size_t missingBytes = total > input_.size() ? total - input_.size() : 0;
        asio::async_read(socket_, asio::dynamic_buffer(input_),
            asio::transfer_exactly(missingBytes),
            [self = shared_from_this(), total, isSuccess](
                const asio::error_code &error, std::size_t) {
                if (error)
                    return self->fail();
                self->input_.erase(0, total);
                ++(isSuccess ? self->result_.successes : self->result_.otherResponses);
                self->send();
            });
    }

    asio::ip::tcp::socket socket_;
    const LoadOptions &options_;
    LoadResult &result_;
    const Clock::time_point end_;
    std::string input_;
};

} // namespace

LoadResult runLoad(const LoadOptions &options)
{
    asio::io_context context;
    LoadResult result;
    const auto start = Clock::now();
    const auto end = start
        + std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(options.seconds));
    for (int i = 0; i < options.connections; ++i)
        std::make_shared<Connection>(context, options, result, end)->start();
    context.run();
    result.seconds = std::chrono::duration<double>(Clock::now() - start).count();
    return result;
}
