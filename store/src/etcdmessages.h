#ifndef ENDIVEQUAY_STORE_ETCDMESSAGES_H
#define ENDIVEQUAY_STORE_ETCDMESSAGES_H

#include "endivequay/store.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

// Codec of the etcd JSON gateway's messages. Byte strings are encoded as base64 and 64-bit integers
// as strings; members with the default value are omitted.
namespace endivequay::detail {

using Json = nlohmann::json;

Json toJson(const RangeRequest &request);
Json toJson(const TransactionRequest &request);
Json toJson(const LeaseGrantRequest &request);
Json toJson(const LeaseKeepAliveRequest &request);
Json toJson(const WatchRequest &request);

/// Returns the object in member \a name of \a json, or an empty object if there is none.
const Json &objectMember(const Json &json, const char *name);
/// Returns the integer in member \a name of \a json, encoded as a number or a string, or 0 if there
/// is none.
std::int64_t numberMember(const Json &json, const char *name);
/// Returns the revision in the header of a response.
Revision revisionOf(const Json &response);

// These fail on malformed responses; the error's reason names the malformed part.
Result<RangeResponse> toRangeResponse(const Json &response);
Result<std::vector<KeyValue>> toConflictValues(const Json &response);
Result<std::vector<Change>> toChanges(const Json &response);

} // namespace endivequay::detail

#endif
