#ifndef ENDIVEQUAY_CONFIG_READER_H
#define ENDIVEQUAY_CONFIG_READER_H

#include "validationerrors.h"

#include "endivequay/configuration.h"

#include <string>
#include <string_view>

namespace endivequay::detail {

/// Parses the output of an operator's program into \a parts, in the order of the text.
void readJson(std::string_view text, ConfigurationParts &parts, ValidationErrors &errors);

/// Removes everything that the document \a name defines from \a parts.
void removeDocument(const std::string &name, ConfigurationParts &parts, ValidationErrors &errors);

/// Parses the document \a name into \a parts. removeDocument() must have been called for it.
void readDocument(const std::string &name, std::string_view text, ConfigurationParts &parts,
    ValidationErrors &errors);

} // namespace endivequay::detail

#endif
