#include "endivequay/httpmessage.h"

#include "endivequay/httpstatus.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <numeric>
#include <utility>

namespace endivequay {

namespace {

/// Bytes of a request beside its header and its body: chunk sizes and extensions. A chunk of one
/// byte needs six.
constexpr std::size_t maxFramingBytes = std::size_t { 64 } * 1024;
constexpr std::size_t maxFramingPerBodyByte = 8;

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    c = toLower(c);
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

std::string percentDecode(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escaped = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0
            && hexDigit(text[i + 2]) >= 0;
        if (escaped) {
            result += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
            i += 2;
        } else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

/// http_parser is built to accept spaces in field names and transfer codings other than chunked.
/// Implementations that treat these differently see different message lengths (request smuggling).
bool validField(const HttpField &field)
{
    if (field.name.empty() || field.name.find_first_of(" \t") != std::string::npos)
        return false;
    return !equalIgnoringCase(field.name, "Transfer-Encoding")
        || equalIgnoringCase(trim(field.value), "chunked");
}

void appendFields(std::string &out, const std::vector<HttpField> &fields)
{
    for (const HttpField &field : fields)
        fmt::format_to(std::back_inserter(out), "{}: {}\r\n", field.name, field.value);
}

} // namespace

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, {}, toLower, toLower);
}

const std::string *HttpMessage::field(std::string_view name) const
{
    const auto found = std::ranges::find_if(
        fields, [&](const HttpField &field) { return equalIgnoringCase(field.name, name); });
    return found == fields.end() ? nullptr : &found->value;
}

std::string_view HttpMessage::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> HttpMessage::query(std::string_view name) const
{
    const auto queryStart = target.find('?');
    std::string_view remaining = queryStart == std::string::npos
        ? std::string_view {}
        : std::string_view(target).substr(queryStart + 1);
    while (!remaining.empty()) {
        const std::string_view pair = remaining.substr(0, remaining.find('&'));
        remaining.remove_prefix(std::min(remaining.size(), pair.size() + 1));
        const auto equal = pair.find('=');
        if (equal != std::string_view::npos && percentDecode(pair.substr(0, equal)) == name)
            return percentDecode(pair.substr(equal + 1));
    }
    return std::nullopt;
}

std::size_t HttpMessage::fieldMemory() const
{
    return std::transform_reduce(fields.begin(), fields.end(),
        fields.capacity() * sizeof(HttpField), std::plus {},
        [](const HttpField &field) { return field.name.size() + field.value.size(); });
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> names { "connection", "keep-alive",
        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
        "transfer-encoding", "upgrade", "expect" };
    return std::ranges::any_of(
        names, [&](std::string_view other) { return equalIgnoringCase(name, other); });
}

std::vector<std::string> connectionOptions(const HttpMessage &message)
{
    std::vector<std::string> options;
    const std::string *value = message.field("Connection");
    std::string_view remaining = value == nullptr ? std::string_view {} : *value;
    while (!remaining.empty()) {
        const std::string_view option = remaining.substr(0, remaining.find(','));
        remaining.remove_prefix(std::min(remaining.size(), option.size() + 1));
        if (!trim(option).empty())
            options.emplace_back(trim(option));
    }
    return options;
}

std::string_view cookie(const HttpMessage &message, std::string_view name)
{
    for (const HttpField &field : message.fields) {
        if (!equalIgnoringCase(field.name, "Cookie"))
            continue;
        std::string_view remaining = field.value;
        while (!remaining.empty()) {
            const std::string_view pair = remaining.substr(0, remaining.find(';'));
            remaining.remove_prefix(std::min(remaining.size(), pair.size() + 1));
            const auto equal = pair.find('=');
            if (equal != std::string_view::npos && trim(pair.substr(0, equal)) == name)
                return trim(pair.substr(equal + 1));
        }
    }
    return {};
}

std::string percentEncode(std::string_view text)
{
    std::string result;
    for (char c : text) {
        const bool unreserved = (c >= '0' && c <= '9') || (toLower(c) >= 'a' && toLower(c) <= 'z')
            || std::string_view("-._~").find(c) != std::string_view::npos;
        if (unreserved)
            result += c;
        else
            fmt::format_to(std::back_inserter(result), "%{:02X}", static_cast<unsigned char>(c));
    }
    return result;
}

std::string serializeRequest(const HttpMessage &message)
{
    return serializeRequestHead(message, message.body.size()) + message.body;
}

std::string serializeRequestHead(const HttpMessage &message, std::size_t bodyBytes)
{
    std::string out = fmt::format("{} {} HTTP/1.1\r\n", message.method, message.target);
    appendFields(out, message.fields);
    const bool noBody = bodyBytes == 0 && (message.method == "GET" || message.method == "HEAD");
    if (!noBody)
        fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n", bodyBytes);
    out += "\r\n";
    return out;
}

std::string serializeResponse(const HttpMessage &message, bool keepAlive, bool withBody)
{
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", message.status,
        message.reason.empty() ? http_status_str(static_cast<http_status>(message.status))
                               : message.reason.c_str());
    appendFields(out, message.fields);
    const bool noBody = message.status == 204 || message.status == 304;
    if (!noBody)
        fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n", message.body.size());
    out += keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    if (withBody && !noBody)
        out += message.body;
    return out;
}

HttpParser::HttpParser(Kind kind, HttpLimits limits)
    : kind_(kind)
    , limits_(limits)
{
    reset();
}

void HttpParser::reset()
{
    http_parser_init(&parser_, kind_ == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    HttpMessage empty; // An assignment would keep the memory of the body.
    std::swap(message_, empty);
    state_ = State::Reading;
    headerBytes_ = 0;
    fedBytes_ = 0;
    started_ = headerComplete_ = noBody_ = false;
    lastWasValue_ = true;
}

const http_parser_settings &HttpParser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings callbackTable;
        http_parser_settings_init(&callbackTable);
        callbackTable.on_url = [](http_parser *p, const char *at, std::size_t n) {
            self(p).message_.target.append(at, n);
            return 0;
        };
        callbackTable.on_status = [](http_parser *p, const char *at, std::size_t n) {
            self(p).message_.reason.append(at, n);
            return 0;
        };
        callbackTable.on_header_field = [](http_parser *p, const char *at, std::size_t n) {
            return self(p).onField({ at, n });
        };
        callbackTable.on_header_value = [](http_parser *p, const char *at, std::size_t n) {
            return self(p).onValue({ at, n });
        };
        callbackTable.on_headers_complete
            = [](http_parser *p) { return self(p).onHeaderComplete(); };
        callbackTable.on_body = [](http_parser *p, const char *at, std::size_t n) {
            return self(p).onBody({ at, n });
        };
        callbackTable.on_message_complete = [](http_parser *p) { return self(p).onComplete(); };
        return callbackTable;
    }();
    return settings;
}

int HttpParser::fail(State state)
{
    state_ = state;
    return -1;
}

int HttpParser::onField(std::string_view part)
{
    if (headerComplete_)
        return 0; // Ignore trailers.
    if (lastWasValue_)
        message_.fields.emplace_back();
    message_.fields.back().name.append(part);
    lastWasValue_ = false;
    return 0;
}

int HttpParser::onValue(std::string_view part)
{
    if (headerComplete_)
        return 0;
    message_.fields.back().value.append(part);
    lastWasValue_ = true;
    return 0;
}

int HttpParser::onHeaderComplete()
{
    headerComplete_ = true;
    if (!std::ranges::all_of(message_.fields, validField))
        return fail(State::Malformed);
    message_.status = kind_ == Kind::Response ? parser_.status_code : 0;
    if (kind_ == Kind::Response && !isHttpStatus(message_.status))
        return fail(State::Malformed);
    if (kind_ == Kind::Request)
        message_.method = http_method_str(static_cast<http_method>(parser_.method));
    message_.keepAlive = http_should_keep_alive(&parser_) != 0;
    const bool lengthKnown = (parser_.flags & F_CONTENTLENGTH) != 0;
    if (lengthKnown && parser_.content_length > limits_.bodyBytes)
        return fail(State::BodyTooLarge);
    return noBody_ ? 1 : 0;
}

int HttpParser::onBody(std::string_view part)
{
    if (message_.body.size() + part.size() > limits_.bodyBytes)
        return fail(State::BodyTooLarge);
    message_.body.append(part);
    return 0;
}

int HttpParser::onComplete()
{
    state_ = State::Complete;
    http_parser_pause(&parser_, 1);
    return 0;
}

std::size_t HttpParser::feed(std::string_view bytes)
{
    if (state_ != State::Reading || bytes.empty())
        return 0;
    started_ = true;
    const std::size_t used
        = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    headerBytes_ += headerComplete_ ? 0 : used;
    fedBytes_ += used;
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (state_ != State::Reading && state_ != State::Complete)
        return used;
    const bool tooLarge = !headerComplete_ && headerBytes_ > limits_.headerBytes;
    if (tooLarge || error == HPE_HEADER_OVERFLOW)
        state_ = State::HeaderTooLarge;
    else if (state_ == State::Reading
        && (error != HPE_OK || parser_.upgrade != 0 || exceedsFraming()))
        state_ = State::Malformed;
    return used;
}

bool HttpParser::exceedsFraming() const
{
    const std::size_t allowed = limits_.headerBytes + message_.body.size() + maxFramingBytes
        + maxFramingPerBodyByte * message_.body.size();
    return kind_ == Kind::Request && headerComplete_ && fedBytes_ > allowed;
}

void HttpParser::finish()
{
    if (state_ != State::Reading)
        return;
    http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    if (state_ == State::Reading)
        state_ = State::Malformed;
}

} // namespace endivequay
