#ifndef ENDIVEQUAY_BENCH_LOAD_H
#define ENDIVEQUAY_BENCH_LOAD_H

#include <cstdint>
#include <string>

/// Closed-loop load: every connection sends its next request after the complete response.
struct LoadOptions
{
    std::string host;
    std::uint16_t port = 0;
    std::string request; ///< Complete HTTP/1.1 request without body.
    int connections = 1;
    double seconds = 1;
};

/// Totals over all connections.
struct LoadResult
{
    std::uint64_t successes = 0; ///< Complete responses with status 200.
    std::uint64_t otherResponses = 0; ///< Complete responses with another status.
    std::uint64_t connectionFailures = 0; ///< Connections that failed or were closed early.
    double seconds = 0;
};

LoadResult runLoad(const LoadOptions &options);

#endif
