// The only translation unit that includes RESTinio, which is slow to compile.

#include "http/http_server.h"

#include <restinio/all.hpp>
#include <stdexcept>

namespace monsoonmux {
namespace {

constexpr std::size_t max_url_bytes = 8 * 1024;
constexpr std::size_t max_header_bytes = 8 * 1024;
constexpr std::size_t max_headers = 64;

struct server_traits
    : restinio::traits_t<
          restinio::asio_timer_manager_t, restinio::null_logger_t,
          std::function<restinio::request_handling_status_t(restinio::request_handle_t)>> {
  static constexpr bool use_connection_count_limiter = true;
};

http_request convert(const restinio::request_handle_t& in) {
  http_request out;
  out.method = in->header().method().c_str();
  out.path = std::string(in->header().path());
  out.query = std::string(in->header().query());
  in->header().for_each_field([&out](const restinio::http_header_field_t& field) {
    out.headers.push_back({field.name(), field.value()});
  });
  out.body = in->body();
  return out;
}

void respond(const restinio::request_handle_t& request, const http_response& answer) {
  auto response = request->create_response(restinio::http_status_line_t(
      restinio::http_status_code_t(static_cast<std::uint16_t>(answer.status)), "status"));
  response.append_header(restinio::http_field::content_type, answer.content_type);
  for (const header_field& field : answer.headers) {
    response.append_header(field.name, field.value);
  }
  response.set_body(answer.body);
  response.done();
}

}  // namespace

struct http_server::state {
  restinio::running_server_handle_t<server_traits> running;
};

http_server::http_server(const server_options& options, http_handler handler)
    : self(std::make_unique<state>()) {
  auto settings = restinio::server_settings_t<server_traits>{};
  settings.address(options.address)
      .port(static_cast<std::uint16_t>(options.port))
      .request_handler([handler = std::move(handler)](const restinio::request_handle_t& request) {
        handler(convert(request), [request](const http_response& a) { respond(request, a); });
        return restinio::request_accepted();
      })
      .read_next_http_message_timelimit(std::chrono::milliseconds(options.read_timeout.value))
      .write_http_response_timelimit(std::chrono::milliseconds(options.read_timeout.value))
      .handle_request_timeout(std::chrono::milliseconds(options.handle_timeout.value))
      .max_parallel_connections(options.max_connections)
      .concurrent_accepts_count(8)
      .separate_accept_and_create_connect(true)
      .acceptor_options_setter([](restinio::acceptor_options_t& acceptor) {
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
      })
      .socket_options_setter([](restinio::socket_options_t& socket) {
        socket.set_option(asio::ip::tcp::no_delay(true));
      })
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                    .max_url_size(max_url_bytes)
                                    .max_field_name_size(256)
                                    .max_field_value_size(max_header_bytes)
                                    .max_field_count(max_headers)
                                    .max_body_size(options.max_body_bytes))
      .cleanup_func([] {});
  try {
    this->self->running = restinio::run_async(restinio::own_io_context(), std::move(settings),
                                              static_cast<std::size_t>(options.threads));
  } catch (const std::exception& error) {
    throw std::runtime_error("cannot listen on " + options.address + ":" +
                             std::to_string(options.port) + ": " + error.what());
  }
}

http_server::~http_server() {
  this->self->running->stop();
  this->self->running->wait();
}

}  // namespace monsoonmux
