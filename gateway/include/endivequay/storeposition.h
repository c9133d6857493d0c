#ifndef ENDIVEQUAY_STOREPOSITION_H
#define ENDIVEQUAY_STOREPOSITION_H

#include "endivequay/types.h"

#include <compare>

namespace endivequay {

/// Point in the history of the store. A position of a later epoch is later, whatever its revision.
struct StorePosition
{
    StorePosition() = default;
    explicit StorePosition(Revision at, StoreEpoch in = {})
        : epoch(in)
        , revision(at)
    { }

    StoreEpoch epoch;
    Revision revision;

    auto operator<=>(const StorePosition &) const = default;
};

} // namespace endivequay

#endif
