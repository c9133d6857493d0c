#ifndef ENDIVEQUAY_CONFIG_CHECKER_H
#define ENDIVEQUAY_CONFIG_CHECKER_H

#include "validationerrors.h"

#include "endivequay/configuration.h"

namespace endivequay::detail {

/// Notation of the field paths in errors.
enum class PathStyle {
    Json, ///< "services[0].planned_rate"
    Documents, ///< "services/storefront.planned_rate"
};

/// Validates the ranges, ids and references of \a parts.
void checkParts(const ConfigurationParts &parts, PathStyle style, ValidationErrors &errors);

} // namespace endivequay::detail

#endif
