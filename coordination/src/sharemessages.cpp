#include "endivequay/sharemessages.h"

#include <algorithm>

namespace endivequay {

Allotment &Allotment::operator+=(const Allotment &other)
{
    rate += other.rate;
    burst += other.burst;
    return *this;
}

Allotment &Allotment::operator-=(const Allotment &other)
{
    rate -= other.rate;
    burst -= other.burst;
    return *this;
}

Allotment operator+(Allotment a, const Allotment &b)
{
    return a += b;
}

Allotment saturatingSubtract(Allotment a, const Allotment &b)
{
    return { std::max<std::int64_t>(0, a.rate - b.rate),
        std::max<std::int64_t>(0, a.burst - b.burst) };
}

Allotment memberwiseMin(const Allotment &a, const Allotment &b)
{
    return { std::min(a.rate, b.rate), std::min(a.burst, b.burst) };
}

} // namespace endivequay
