#ifdef ENDIVEQUAY_OWN_INTERFACE
#include "instance.h"
#endif

#include "endivequay/platform.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

namespace {

#ifndef ENDIVEQUAY_OWN_INTERFACE
constexpr int exitUsage = 2;
#endif

std::optional<std::string> readEnvironment(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments.front() == "platform")
        return endivequay::platform::run(
            { arguments.begin() + 1, arguments.end() }, readEnvironment);
#ifdef ENDIVEQUAY_OWN_INTERFACE
    return endivequay::runInstance(arguments);
#else
    fmt::print(stderr,
        "endivequayd: this build serves the platform only; see endivequayd platform --help\n");
    return exitUsage;
#endif
}
