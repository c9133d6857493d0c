#ifndef ENDIVEQUAY_COORDINATION_MILLIONTHS_H
#define ENDIVEQUAY_COORDINATION_MILLIONTHS_H

#include <cmath>
#include <cstdint>

namespace endivequay::detail {

__extension__ using WideInt = __int128;

/// Rates and tokens are integers in millionths of a request, so that parts add up exactly.
inline constexpr std::int64_t millionthsPerRequest = 1'000'000;

inline std::int64_t toMillionths(double amount)
{
    return static_cast<std::int64_t>(std::llround(amount * 1e6));
}

/// \a amount * \a part / \a whole without overflow; 0 if \a whole is 0.
inline std::int64_t mulDiv(std::int64_t amount, std::int64_t part, std::int64_t whole)
{
    return whole == 0 ? 0 : static_cast<std::int64_t>(WideInt { amount } * part / whole);
}

} // namespace endivequay::detail

#endif
