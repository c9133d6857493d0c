#include "bareserver.h"

#include <restinio/all.hpp>

void serveConstantResponse(const std::string &host, std::uint16_t port, std::size_t threads)
{
    const std::string body(276, 'x');
    restinio::run(restinio::on_thread_pool<restinio::default_traits_t>(threads)
                      .address(host)
                      .port(port)
                      .request_handler([body](const restinio::request_handle_t &request) {
                          return request->create_response()
                              .append_header("Content-Type", "application/json")
                              .set_body(body)
                              .done();
                      }));
}
