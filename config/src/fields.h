#ifndef ENDIVEQUAY_CONFIG_FIELDS_H
#define ENDIVEQUAY_CONFIG_FIELDS_H

#include <string_view>
#include <vector>

namespace endivequay::detail {

/// The fields of one kind of JSON object. The reader rejects all others.
/// docs/configuration.schema.json has the same lists under $defs.
struct ObjectFields
{
    std::string_view objectName;
    std::vector<std::string_view> required;
    std::vector<std::string_view> optional;

    bool contains(std::string_view name) const;
};

extern const ObjectFields configurationFields; ///< Top level of the JSON text.
extern const ObjectFields regionsDocumentFields;
extern const ObjectFields upstreamsDocumentFields;
extern const ObjectFields blocksDocumentFields;
extern const ObjectFields regionFields;
extern const ObjectFields domainFields;
extern const ObjectFields siteFields;
extern const ObjectFields delayFields;
extern const ObjectFields linkFields;
extern const ObjectFields serviceFields;
extern const ObjectFields shiftCapFields;
extern const ObjectFields routeFields;
extern const ObjectFields plannedShiftFields;
extern const ObjectFields upstreamFields;
extern const ObjectFields teamFields;
extern const ObjectFields keyFields;

/// All of the above.
std::vector<const ObjectFields *> allObjectFields();

} // namespace endivequay::detail

#endif
