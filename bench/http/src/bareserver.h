#ifndef ENDIVEQUAY_BENCH_BARESERVER_H
#define ENDIVEQUAY_BENCH_BARESERVER_H

#include <cstdint>
#include <string>

/// Serves a constant answer of the size of a look-up's on \a threads threads until SIGTERM: the
/// baseline of the look-up rate.
void serveConstant(const std::string &host, std::uint16_t port, std::size_t threads);

#endif
