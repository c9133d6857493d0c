#include "main.h"

using namespace endivequay;
namespace po = boost::program_options;

int main(int argc, char **argv)
{
    UpstreamStandinOptions upstream;
    standins::Options options;
    options.add_options()("slots", po::value(&upstream.slots)->default_value(1),
        "concurrent requests")("name", po::value(&upstream.name)->default_value("upstream"),
        "upstream name in responses")("service",
        po::value(&upstream.service)->default_value("service"),
        "service name in responses")("delay-ms", po::value(&upstream.delayMs)->default_value(0),
        "processing time of a request in milliseconds");
    return standins::serve(
        argc, argv, options, [&upstream](const Address &listen, const standins::Values &) {
            upstream.listen = listen;
            return startUpstreamStandin(upstream);
        });
}
