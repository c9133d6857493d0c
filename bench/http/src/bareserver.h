#ifndef ENDIVEQUAY_BENCH_BARESERVER_H
#define ENDIVEQUAY_BENCH_BARESERVER_H

#include <cstdint>
#include <string>

/// Serves a constant response, as large as a look-up's, on \a threads threads until SIGTERM. It is
/// the baseline for the look-up rate.
void serveConstantResponse(const std::string &host, std::uint16_t port, std::size_t threads);

#endif
