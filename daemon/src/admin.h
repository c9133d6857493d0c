#ifndef ENDIVEQUAY_DAEMON_ADMIN_H
#define ENDIVEQUAY_DAEMON_ADMIN_H

#include "admission.h"
#include "http.h"
#include "node.h"

namespace endivequay {

/// GET /v1/status: identity, revision, members, upstreams and teams as JSON.
HttpReply statusReply(Node &node, Admission &admission);

/// GET /v1/timeline: the buffered events as JSON, oldest first.
HttpReply timelineReply(Node &node);

/// GET /metrics: metrics in the Prometheus text exposition format.
HttpReply metricsReply(Node &node, Admission &admission);

/// Whether a POST /v1/drain is authorized: its header Endivequay-Operator must be the HMAC-SHA256
/// of "drain " and the instance's address, keyed with the shared secret.
bool isDrainAuthorized(const Node &node, const HttpRequest &request);

} // namespace endivequay

#endif
