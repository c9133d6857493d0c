#include "http.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <ranges>

namespace endivequay {

namespace {

std::optional<int> hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    const int lower = std::tolower(static_cast<unsigned char>(c));
    if (lower >= 'a' && lower <= 'f')
        return lower - 'a' + 10;
    return std::nullopt;
}

} // namespace

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view HttpRequest::query() const
{
    const auto mark = target.find('?');
    return mark == std::string::npos ? std::string_view()
                                     : std::string_view(target).substr(mark + 1);
}

std::vector<std::string_view> HttpRequest::headerValues(std::string_view name) const
{
    std::vector<std::string_view> values;
    for (const auto &[header, value] : headers) {
        if (isSameHeaderName(header, name))
            values.emplace_back(value);
    }
    return values;
}

std::optional<std::string_view> HttpRequest::header(std::string_view name) const
{
    const auto values = headerValues(name);
    return values.empty() ? std::nullopt : std::optional(values.front());
}

std::optional<std::string> HttpRequest::parameter(std::string_view name) const
{
    for (const auto part : std::views::split(query(), '&')) {
        const std::string_view pair(part.begin(), part.end());
        if (pair.substr(0, pair.find('=')) == name && pair.size() > name.size())
            return percentDecode(pair.substr(name.size() + 1));
    }
    return std::nullopt;
}

bool isSameHeaderName(std::string_view a, std::string_view b)
{
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        if (i + 2 >= text.size())
            return std::nullopt;
        const auto high = hexDigit(text[i + 1]);
        const auto low = hexDigit(text[i + 2]);
        if (!high || !low)
            return std::nullopt;
        decoded += static_cast<char>(*high * 16 + *low);
        i += 2;
    }
    return decoded;
}

HttpReply jsonReply(int status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body), false };
}

HttpReply localReply(
    int status, std::string_view outcome, std::string_view reason, Interval retryAfter)
{
    using std::chrono::milliseconds;
    const nlohmann::json body { { "outcome", outcome }, { "reason", reason },
        { "retry_after_ms", std::chrono::duration_cast<milliseconds>(retryAfter).count() } };
    HttpReply reply = jsonReply(status, body.dump());
    reply.headers.emplace_back(outcomeHeader, outcome);
    return reply;
}

} // namespace endivequay
