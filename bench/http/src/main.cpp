#include "bareserver.h"
#include "load.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

constexpr int exitUsage = 2;

int usage()
{
    fmt::print(stderr,
        "usage: bench_http serve IP PORT THREADS\n"
        "       bench_http load IP PORT TARGET CONNECTIONS SECONDS [HEADER]...\n"
        "load prints: answers others failures answers-per-second\n");
    return exitUsage;
}

std::uint16_t toPort(const std::string &text)
{
    return static_cast<std::uint16_t>(std::strtoul(text.c_str(), nullptr, 10));
}

int load(const std::vector<std::string> &arguments)
{
    LoadOptions options;
    options.host = arguments[1];
    options.port = toPort(arguments[2]);
    options.connections = std::atoi(arguments[4].c_str());
    options.seconds = std::atof(arguments[5].c_str());
    options.request = fmt::format("GET {} HTTP/1.1\r\nHost: bench\r\n", arguments[3]);
    for (std::size_t i = 6; i < arguments.size(); ++i)
        options.request += arguments[i] + "\r\n";
    options.request += "\r\n";
    const LoadResult result = runLoad(options);
    fmt::print("{} {} {} {:.1f}\n", result.successes, result.otherResponses,
        result.connectionFailures, static_cast<double>(result.successes) / result.seconds);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() >= 6 && arguments[0] == "load")
        return load(arguments);
    if (arguments.size() != 4 || arguments[0] != "serve")
        return usage();
    serveConstantResponse(
        arguments[1], toPort(arguments[2]), std::strtoul(arguments[3].c_str(), nullptr, 10));
    return 0;
}
