#include "main.h"

#include <csignal>
#include <cstdio>
#include <iostream>

namespace endivequay::standins {

namespace po = boost::program_options;

namespace {

void waitForSignal(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace

int serve(int argc, char **argv, const Options &options,
    const std::function<Result<Standin>(const Address &, const Values &)> &start)
{
    Options all("Options");
    all.add_options()("help", "print this text")("listen",
        po::value<std::string>()->default_value("127.0.0.1:0"),
        "ip:port; port 0 selects a free port");
    all.add(options);
    Values values;
    try {
        po::store(po::parse_command_line(argc, argv, all), values);
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    if (values.contains("help")) {
        std::cout << all;
        return 0;
    }
    // Blocked before the server's thread starts and inherits the mask, so that only sigwait
    // receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto standin = start(Address(values["listen"].as<std::string>()), values);
    if (!standin) {
        std::cerr << toString(standin.lastReason()) << '\n';
        return 1;
    }
    std::cout << "listening " << standin->address().value() << std::endl;
    waitForSignal(signals);
    return 0;
}

} // namespace endivequay::standins
