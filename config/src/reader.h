#ifndef ENDIVEQUAY_CONFIG_READER_H
#define ENDIVEQUAY_CONFIG_READER_H

#include "faults.h"

#include "endivequay/configuration.h"

#include <string>
#include <string_view>

namespace endivequay::detail {

/// Reads the text of an operator's program into \a parts, in the order of the text.
void readJson(std::string_view text, ConfigurationParts &parts, Faults &faults);

/// Removes the content of the document \a name from \a parts.
void removeDocument(const std::string &name, ConfigurationParts &parts, Faults &faults);

/// Adds the content of the document \a name, which removeDocument() was called for.
void readDocument(
    const std::string &name, std::string_view text, ConfigurationParts &parts, Faults &faults);

} // namespace endivequay::detail

#endif
