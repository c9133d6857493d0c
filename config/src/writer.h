#ifndef ENDIVEQUAY_CONFIG_WRITER_H
#define ENDIVEQUAY_CONFIG_WRITER_H

#include "endivequay/configuration.h"

#include <map>
#include <string>
#include <vector>

namespace endivequay::detail {

/// Networks by site, as the format has them.
using BlockTexts = std::map<std::string, std::vector<std::string>>;

BlockTexts blockTexts(const ClientBlockGroups &groups);

/// The text of an operator's program. \a parts need not be valid; its client blocks are not used.
std::string writeJson(const ConfigurationParts &parts, const BlockTexts &blocks);

Documents writeDocuments(const ConfigurationParts &parts);

} // namespace endivequay::detail

#endif
