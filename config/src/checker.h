#ifndef ENDIVEQUAY_CONFIG_CHECKER_H
#define ENDIVEQUAY_CONFIG_CHECKER_H

#include "faults.h"

#include "endivequay/configuration.h"

namespace endivequay::detail {

/// How the paths of faults are written.
enum class PathStyle {
    Json, ///< "services[0].planned_rate"
    Documents, ///< "services/storefront.planned_rate"
};

/// Records everything that is wrong with ranges, ids and references of \a parts.
void checkParts(const ConfigurationParts &parts, PathStyle style, Faults &faults);

} // namespace endivequay::detail

#endif
