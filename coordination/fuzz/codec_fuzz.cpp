#include "endivequay/codec.h"

#include <cstdint>
#include <cstdlib>

/// libFuzzer entry point. Aborts if a decoded message does not re-encode to the same bytes, or if a
/// rejection has no reason.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto message = endivequay::decode({ reinterpret_cast<const char *>(data), size });
    if (!message)
        return message.lastReason().reason.empty() ? std::abort(), 0 : 0;
    const std::string bytes = endivequay::encode(*message);
    const auto again = endivequay::decode(bytes);
    if (!again || endivequay::encode(*again) != bytes)
        std::abort();
    return 0;
}
