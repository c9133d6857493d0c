#ifndef ENDIVEQUAY_BENCH_LOAD_H
#define ENDIVEQUAY_BENCH_LOAD_H

#include <cstdint>
#include <string>

/// Closed-loop load: every connection sends the next request when the answer has arrived.
struct LoadPlan
{
    std::string host;
    std::uint16_t port = 0;
    std::string request; ///< Complete HTTP/1.1 request without body.
    int connections = 1;
    double seconds = 1;
};

/// What the connections got.
struct LoadResult
{
    std::uint64_t answers = 0; ///< Complete answers with status 200.
    std::uint64_t others = 0; ///< Complete answers with another status.
    std::uint64_t failures = 0; ///< Connections that broke.
    double seconds = 0;
};

LoadResult runLoad(const LoadPlan &plan);

#endif
