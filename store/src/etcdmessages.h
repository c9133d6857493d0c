#ifndef ENDIVEQUAY_STORE_ETCDMESSAGES_H
#define ENDIVEQUAY_STORE_ETCDMESSAGES_H

#include "endivequay/store.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

// Messages of etcd's JSON gateway: byte strings are base64, 64-bit numbers are strings, and fields
// with the default value are left out.
namespace endivequay::detail {

using Json = nlohmann::json;

Json toJson(const RangeRequest &request);
Json toJson(const TransactionRequest &request);
Json toJson(const LeaseGrantRequest &request);
Json toJson(const LeaseKeepAliveRequest &request);
Json toJson(const WatchRequest &request);

/// The object in member \a name of \a json, or an empty object.
const Json &objectIn(const Json &json, const char *name);
/// A number written as string or number, in member \a name of \a json; 0 if it is missing.
std::int64_t numberIn(const Json &json, const char *name);
/// The revision in the header of an answer.
Revision revisionOf(const Json &answer);

// These fail on answers that are not what etcd sends; the reason says what is wrong.
Result<RangeResponse> toRangeResponse(const Json &answer);
Result<std::vector<KeyValue>> toConflictValues(const Json &answer);
Result<std::vector<Change>> toChanges(const Json &answer);

} // namespace endivequay::detail

#endif
