#ifndef ENDIVEQUAY_DAEMON_INSTANCE_H
#define ENDIVEQUAY_DAEMON_INSTANCE_H

#include <string>
#include <vector>

namespace endivequay {

/// Runs an entry instance with endivequay's native HTTP interface until it is stopped. Returns the
/// exit status.
int runInstance(const std::vector<std::string> &arguments);

} // namespace endivequay

#endif
