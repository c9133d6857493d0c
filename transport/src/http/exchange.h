#ifndef ENDIVEQUAY_HTTP_EXCHANGE_H
#define ENDIVEQUAY_HTTP_EXCHANGE_H

#include "endivequay/detail/httpclient.h"

#include <curl/curl.h>

#include <array>
#include <memory>

namespace endivequay::detail {

struct EasyDeleter
{
    void operator()(CURL *easy) const { curl_easy_cleanup(easy); }
};

struct MultiDeleter
{
    void operator()(CURLM *multi) const { curl_multi_cleanup(multi); }
};

struct ListDeleter
{
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};

/// A libcurl handle that holds one connection.
class Connection
{
public:
    Connection();

    CURL *easy() const { return easy_.get(); }
    CURLM *multi() const { return multi_.get(); }

private:
    // The easy handle refers to the multi handle, so it is destroyed first.
    std::unique_ptr<CURLM, MultiDeleter> multi_;
    std::unique_ptr<CURL, EasyDeleter> easy_;
};

/// One request and its response on a connection.
class Exchange
{
public:
    Exchange(const HttpRequest &request, Interval connectTimeout, Connection &connection);

    HttpResult run();
    /// Whether the connection can carry another request.
    bool reusable() const { return reusable_; }

private:
    static std::size_t onHeader(const char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onBody(const char *data, std::size_t size, std::size_t count, void *self);
    static int onBeforeRequest(
        void *self, char *peerIp, char *localIp, int peerPort, int localPort);
    static curl_socket_t onOpenSocket(void *self, curlsocktype purpose, curl_sockaddr *address);

    void configure();
    void configureConnection(Instant now);
    void configureBody();
    bool setHeaders();
    void perform();
    /// Fails the exchange if it was cancelled or its deadline has passed; returns whether it
    /// failed.
    bool interrupted();
    void classify(CURLcode code);
    void addHeaderLine(std::string_view line);
    bool addBody(std::string_view piece);
    /// Whether the end of the response body is known without the connection closing.
    bool hasDefinedLength() const;
    void fail(HttpEnd end, std::string reason);

    const HttpRequest &request_;
    const Interval connectTimeout_;
    Connection &connection_;
    std::unique_ptr<curl_slist, ListDeleter> headers_;
    std::array<char, CURL_ERROR_SIZE> errorText_ {};
    HttpResult result_;
    std::size_t headerBytes_ = 0;
    bool headersComplete_ = false;
    bool failed_ = false;
    bool reusable_ = false;
};

/// Whether the method, target and headers of \a request are valid in HTTP/1.1, so that none of them
/// can inject further headers or requests.
bool isWellFormed(const HttpRequest &request);

} // namespace endivequay::detail

#endif
