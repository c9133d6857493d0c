#ifndef ENDIVEQUAY_HTTPSTATUS_H
#define ENDIVEQUAY_HTTPSTATUS_H

namespace endivequay {

/// Whether \a status is one that HTTP defines a class for (RFC 9110, 15). A response with another
/// one is no response: the request may have run, and nothing else is known.
constexpr bool isHttpStatus(int status)
{
    return status >= 100 && status <= 599;
}

} // namespace endivequay

#endif
