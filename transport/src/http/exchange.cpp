#include "exchange.h"

#include "endivequay/httpstatus.h"

#include <algorithm>
#include <cctype>
#include <new>

namespace endivequay::detail {

namespace {

// Limits the memory that response headers can use; common servers send at most 16 KB.
constexpr std::size_t maxHeaderBytes = 65'536;

// curl_multi_poll takes its timeout as int milliseconds; the loop polls again until the deadline.
constexpr Interval maxPollInterval = std::chrono::seconds(60);

int toMilliseconds(Interval interval)
{
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(interval);
    return static_cast<int>(std::max<std::int64_t>(rounded.count(), 1));
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool isTokenCharacter(unsigned char c)
{
    return std::isalnum(c) != 0
        || std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, isTokenCharacter);
}

bool isTarget(std::string_view text)
{
    return text.starts_with('/')
        && std::ranges::all_of(text, [](unsigned char c) { return c > ' ' && c != 0x7f; });
}

bool isFieldValue(std::string_view text)
{
    return std::ranges::all_of(
        text, [](unsigned char c) { return c == '\t' || (c >= ' ' && c != 0x7f); });
}

const std::string *findHeader(const HeaderList &headers, std::string_view name)
{
    const auto found = std::ranges::find_if(
        headers, [&](const auto &header) { return equalIgnoringCase(header.first, name); });
    return found == headers.end() ? nullptr : &found->second;
}

} // namespace

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

bool isWellFormed(const HttpRequest &request)
{
    return isToken(request.method) && isTarget(request.target)
        && std::ranges::all_of(request.headers, [](const auto &header) {
               return isToken(header.first) && isFieldValue(header.second);
           });
}

Connection::Connection()
    : multi_(curl_multi_init())
    , easy_(curl_easy_init())
{
    if (!multi_ || !easy_)
        throw std::bad_alloc();
    curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, 1L);
}

Exchange::Exchange(const HttpRequest &request, Interval connectTimeout, Connection &connection)
    : request_(request)
    , connectTimeout_(connectTimeout)
    , connection_(connection)
{ }

HttpResult Exchange::run()
{
    configure();
    if (!interrupted())
        perform();
    return std::move(result_);
}

void Exchange::configure()
{
    CURL *easy = connection_.easy();
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, errorText_.data());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Exchange::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Exchange::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Exchange::onBeforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Exchange::onOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    configureConnection(SteadyClock().now());
    configureBody();
    if (!setHeaders())
        throw std::bad_alloc();
}

void Exchange::configureConnection(Instant now)
{
    CURL *easy = connection_.easy();
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + request_.address.value() + "/").c_str());
    // Sends the path unchanged; libcurl would resolve dot segments and strip fragments.
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request_.target.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    // An empty proxy name also overrides the environment variable http_proxy.
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    const Interval timeout = std::min(request_.deadline - now, connectTimeout_);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(toMilliseconds(timeout)));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request_.fresh ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, request_.fresh ? 1L : 0L);
}

void Exchange::configureBody()
{
    CURL *easy = connection_.easy();
    const bool bodyIsOptional
        = request_.method != "POST" && request_.method != "PUT" && request_.method != "PATCH";
    if (request_.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else if (!request_.body.empty() || !bodyIsOptional) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(
            easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request_.body.size()));
        // With a null pointer libcurl would read the body from the read callback.
        curl_easy_setopt(
            easy, CURLOPT_POSTFIELDS, request_.body.empty() ? "" : request_.body.data());
    }
    if (request_.method != "HEAD")
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
}

bool Exchange::setHeaders()
{
    const auto append = [this](const std::string &line) {
        curl_slist *list = curl_slist_append(headers_.get(), line.c_str());
        if (list == nullptr)
            return false;
        static_cast<void>(headers_.release());
        headers_.reset(list);
        return true;
    };
    // A name followed by only a colon removes the header that libcurl adds by default.
    for (const char *name : { "Accept", "Content-Type", "Expect" }) {
        if (findHeader(request_.headers, name) == nullptr && !append(std::string(name) + ":"))
            return false;
    }
    for (const auto &[name, value] : request_.headers) {
        const std::string_view text = trimmed(value);
        // libcurl sends a header without a value only if its name ends with a semicolon.
        if (!append(text.empty() ? name + ";" : name + ": " + std::string(text)))
            return false;
    }
    curl_easy_setopt(connection_.easy(), CURLOPT_HTTPHEADER, headers_.get());
    return true;
}

void Exchange::perform()
{
    CURLM *multi = connection_.multi();
    const std::stop_callback wake(request_.cancelled, [multi] { curl_multi_wakeup(multi); });
    curl_multi_add_handle(multi, connection_.easy());
    int running = 1;
    while (curl_multi_perform(multi, &running) == CURLM_OK && running != 0 && !interrupted()) {
        const Interval left = request_.deadline - SteadyClock().now();
        curl_multi_poll(
            multi, nullptr, 0, toMilliseconds(std::min(left, maxPollInterval)), nullptr);
    }
    int queued = 0;
    if (const CURLMsg *message = curl_multi_info_read(multi, &queued))
        classify(message->data.result);
    curl_socket_t socket = CURL_SOCKET_BAD;
    curl_easy_getinfo(connection_.easy(), CURLINFO_ACTIVESOCKET, &socket);
    reusable_ = result_.end == HttpEnd::Complete && !request_.fresh && socket != CURL_SOCKET_BAD;
    curl_multi_remove_handle(multi, connection_.easy());
}

bool Exchange::interrupted()
{
    if (request_.cancelled.stop_requested())
        fail(HttpEnd::Cancelled, "the request was cancelled");
    else if (SteadyClock().now() >= request_.deadline)
        fail(HttpEnd::Deadline, "no complete response by the deadline");
    return failed_;
}

void Exchange::classify(CURLcode code)
{
    long status = 0;
    curl_easy_getinfo(connection_.easy(), CURLINFO_RESPONSE_CODE, &status);
    result_.status = static_cast<int>(status);
    if (failed_)
        return;
    const std::string text = errorText_[0] != '\0' ? errorText_.data() : curl_easy_strerror(code);
    if (code == CURLE_OK && headersComplete_ && !isHttpStatus(result_.status))
        fail(HttpEnd::Incomplete, "the response has no valid status");
    else if (code == CURLE_OK && headersComplete_ && hasDefinedLength())
        result_.end = HttpEnd::Complete;
    else if (code == CURLE_OK && !headersComplete_) // libcurl accepts a head cut by a close.
        fail(HttpEnd::Incomplete, "the connection closed within the head of the response");
    else if (code == CURLE_OK)
        fail(HttpEnd::Incomplete, "the response does not state its length");
    else if (!result_.sent)
        fail(HttpEnd::ConnectFailed, text);
    else
        fail(HttpEnd::Incomplete, text);
}

bool Exchange::hasDefinedLength() const
{
    // Without a length, a truncated response cannot be distinguished from a complete one.
    const bool hasNoBody
        = request_.method == "HEAD" || result_.status == 204 || result_.status == 304;
    const std::string *encoding = findHeader(result_.headers, "Transfer-Encoding");
    return hasNoBody || findHeader(result_.headers, "Content-Length") != nullptr
        || (encoding != nullptr && equalIgnoringCase(*encoding, "chunked"));
}

void Exchange::fail(HttpEnd end, std::string reason)
{
    if (failed_)
        return;
    failed_ = true;
    result_.end = end;
    result_.reason = std::move(reason);
}

int Exchange::onBeforeRequest(
    void *self, char * /*peerIp*/, char * /*localIp*/, int /*peerPort*/, int /*localPort*/)
{
    auto *exchange = static_cast<Exchange *>(self);
    // libcurl is about to send the request a second time.
    if (exchange->result_.sent) {
        exchange->fail(
            HttpEnd::ReusedConnectionClosed, "the reused connection closed before a response");
        return CURL_PREREQFUNC_ABORT;
    }
    if (exchange->interrupted())
        return CURL_PREREQFUNC_ABORT;
    exchange->result_.sent = true;
    return CURL_PREREQFUNC_OK;
}

curl_socket_t Exchange::onOpenSocket(void *self, curlsocktype /*purpose*/, curl_sockaddr *address)
{
    auto *exchange = static_cast<Exchange *>(self);
    if (exchange->result_.sent) {
        exchange->fail(
            HttpEnd::ReusedConnectionClosed, "the reused connection closed before a response");
        return CURL_SOCKET_BAD;
    }
    return socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
}

std::size_t Exchange::onHeader(const char *data, std::size_t size, std::size_t count, void *self)
{
    auto *exchange = static_cast<Exchange *>(self);
    exchange->headerBytes_ += size * count;
    if (exchange->headerBytes_ > maxHeaderBytes) {
        exchange->fail(HttpEnd::TooLarge, "the response headers exceed the limit");
        return 0;
    }
    exchange->addHeaderLine(std::string_view(data, size * count));
    return size * count;
}

void Exchange::addHeaderLine(std::string_view line)
{
    if (line.starts_with("HTTP/")) {
        // Discards the headers of an interim (1xx) response.
        result_.headers.clear();
        headersComplete_ = false;
        return;
    }
    const auto colon = line.find(':');
    if (trimmed(line).empty())
        headersComplete_ = true;
    else if (!headersComplete_ && colon != std::string_view::npos)
        result_.headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
}

std::size_t Exchange::onBody(const char *data, std::size_t size, std::size_t count, void *self)
{
    auto *exchange = static_cast<Exchange *>(self);
    return exchange->addBody(std::string_view(data, size * count)) ? size * count : 0;
}

bool Exchange::addBody(std::string_view piece)
{
    long status = 0;
    curl_easy_getinfo(connection_.easy(), CURLINFO_RESPONSE_CODE, &status);
    if (request_.stream && status == 200) {
        if (!request_.stream(piece))
            fail(HttpEnd::Cancelled, "the receiver of the response stopped");
        return !failed_;
    }
    if (result_.body.size() + piece.size() > request_.answerLimit)
        fail(HttpEnd::TooLarge, "the response exceeds the limit");
    else
        result_.body.append(piece);
    return !failed_;
}

} // namespace endivequay::detail
