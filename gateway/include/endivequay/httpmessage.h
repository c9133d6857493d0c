#ifndef ENDIVEQUAY_HTTPMESSAGE_H
#define ENDIVEQUAY_HTTPMESSAGE_H

#include <http_parser.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivequay {

struct HttpField
{
    std::string name;
    std::string value;
};

/// A complete request or response.
struct HttpMessage
{
    std::string method; ///< Requests only.
    std::string target; ///< Requests only: path and query.
    int status = 0; ///< Responses only.
    std::string reason; ///< Responses only.
    std::vector<HttpField> fields;
    std::string body; ///< Decoded; without transfer coding.
    bool keepAlive = true;

    /// Value of the first field \a name (case-insensitive); null if there is none.
    const std::string *field(std::string_view name) const;
    /// Target without the query.
    std::string_view path() const;
    /// Memory of the header fields in bytes, approximately. A field of a few bytes takes many times
    /// its length.
    std::size_t fieldMemory() const;
    /// Decoded value of the query parameter \a name.
    std::optional<std::string> query(std::string_view name) const;
};

bool equalIgnoringCase(std::string_view a, std::string_view b);

/// Whether the field \a name is hop-by-hop and must not be forwarded (RFC 9110, 7.6.1).
bool isHopByHop(std::string_view name);

/// Field names listed in the Connection field of \a message; these fields are hop-by-hop as well.
std::vector<std::string> connectionOptions(const HttpMessage &message);

/// Value of the cookie \a name in the Cookie fields of \a message; empty if there is none.
std::string_view cookie(const HttpMessage &message, std::string_view name);

/// Encodes every byte of \a text that is not an unreserved URI character as %XX.
std::string percentEncode(std::string_view text);

/// Serialize as HTTP/1.1 with Content-Length. \a keepAlive false adds "Connection: close".
std::string serializeRequest(const HttpMessage &message);
/// The same without the body, which has \a bodyBytes and follows.
std::string serializeRequestHead(const HttpMessage &message, std::size_t bodyBytes);
std::string serializeResponse(const HttpMessage &message, bool keepAlive, bool withBody = true);

struct HttpLimits
{
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t bodyBytes = std::size_t { 64 } * 1024 * 1024;
};

/// Incremental parser for one message at a time, based on http_parser (the parser of RESTinio).
class HttpParser
{
public:
    enum class Kind { Request, Response };
    enum class State { Reading, Complete, Malformed, HeaderTooLarge, BodyTooLarge };

    explicit HttpParser(Kind kind, HttpLimits limits = {});
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    /// Parses up to the end of one message. Returns the number of bytes consumed; the rest belongs
    /// to the next message.
    std::size_t feed(std::string_view bytes);
    /// Signals the end of the connection; completes a response that is delimited by it.
    void finish();
    /// Prepares for the next message.
    void reset();
    /// The response to parse has no body, whatever its header says (response to HEAD).
    void expectNoBody() { noBody_ = true; }

    State state() const { return state_; }
    /// Whether any byte of the current message was parsed.
    bool started() const { return started_; }
    bool headerComplete() const { return headerComplete_; }
    HttpMessage &message() { return message_; }
    /// Memory of the unfinished message in bytes, approximately.
    std::size_t memory() const
    {
        return message_.fields.capacity() * sizeof(HttpField) + headerBytes_ + message_.body.size();
    }

private:
    static HttpParser &self(http_parser *parser)
    {
        return *static_cast<HttpParser *>(parser->data);
    }
    static const http_parser_settings &callbacks();
    int fail(State state);
    int onField(std::string_view part);
    int onValue(std::string_view part);
    int onHeaderComplete();
    int onBody(std::string_view part);
    int onComplete();
    bool exceedsFraming() const;

    const Kind kind_;
    const HttpLimits limits_;
    http_parser parser_ {};
    HttpMessage message_;
    State state_ = State::Reading;
    std::size_t headerBytes_ = 0;
    std::size_t fedBytes_ = 0; ///< All bytes of the message so far.
    bool started_ = false;
    bool headerComplete_ = false;
    bool lastWasValue_ = true;
    bool noBody_ = false;
};

} // namespace endivequay

#endif
