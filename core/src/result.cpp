#include "endivequay/result.h"

namespace endivequay {

std::string toString(const Error &error)
{
    std::string text = error.step;
    if (!error.peer.empty())
        text += " (" + error.peer + ")";
    return text + ": " + error.reason;
}

} // namespace endivequay
