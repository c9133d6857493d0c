#ifndef ENDIVEQUAY_CONFIG_WRITER_H
#define ENDIVEQUAY_CONFIG_WRITER_H

#include "endivequay/configuration.h"

#include <map>
#include <string>
#include <vector>

namespace endivequay::detail {

/// Networks in CIDR notation by site, as in the JSON format.
using NetworksBySite = std::map<std::string, std::vector<std::string>>;

NetworksBySite networksBySite(const ClientBlockGroups &groups);

/// Serializes to the JSON that readJson() reads. \a parts need not be valid; its client blocks are
/// ignored in favor of \a blocks.
std::string writeJson(const ConfigurationParts &parts, const NetworksBySite &blocks);

Documents writeDocuments(const ConfigurationParts &parts);

} // namespace endivequay::detail

#endif
