#ifndef ENDIVEQUAY_STANDINS_MAIN_H
#define ENDIVEQUAY_STANDINS_MAIN_H

#include "endivequay/standins.h"

#include <boost/program_options.hpp>

#include <functional>

namespace endivequay::standins {

using Options = boost::program_options::options_description;
using Values = boost::program_options::variables_map;

/// Reads --listen and \a options, starts the stand-in, prints "listening ip:port" and serves until
/// SIGINT or SIGTERM. Returns the exit status.
int serve(int argc, char **argv, const Options &options,
    const std::function<Result<Standin>(const Address &listen, const Values &values)> &start);

} // namespace endivequay::standins

#endif
