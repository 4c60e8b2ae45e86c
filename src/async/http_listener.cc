// Uses RESTinio with its single-threaded traits, on an event loop shared with other
// components.

#include "async/http_listener.h"

#include <restinio/all.hpp>
#include <stdexcept>

namespace monsoonmux::cell {
namespace {

constexpr std::size_t max_url_bytes = 8 * 1024;
constexpr std::size_t max_header_bytes = 16 * 1024;
constexpr std::size_t max_headers = 64;

struct listener_traits : restinio::default_single_thread_traits_t {
  using request_handler_t =
      std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
  static constexpr bool use_connection_count_limiter = true;
};

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

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

}  // namespace

struct http_listener::state {
  std::unique_ptr<restinio::http_server_t<listener_traits>> server;
  std::size_t open = 0;
  bool closing = false;

  void respond(const restinio::request_handle_t& request, const http_response& answer) {
    --this->open;
    auto response = request->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<std::uint16_t>(answer.status)),
        reason_phrase(answer.status)));
    response.append_header(restinio::http_field::content_type, answer.content_type);
    for (const header_field& field : answer.headers) {
      response.append_header(field.name, field.value);
    }
    if (this->closing) {
      response.connection_close();
    }
    response.set_body(answer.body);
    response.done();
  }
};

http_listener::http_listener(asio::io_context& io, const listener_options& options,
                             http_handler handler)
    : self(std::make_shared<state>()) {
  auto settings = restinio::server_settings_t<listener_traits>{};
  std::weak_ptr<state> weak = this->self;
  settings.address(options.address)
      .port(options.port)
      .request_handler(
          [weak, handler = std::move(handler)](const restinio::request_handle_t& request) {
            const auto s = weak.lock();
            if (!s) {
              return restinio::request_rejected();
            }
            ++s->open;
            handler(convert(request),
                    [s, request](const http_response& answer) { s->respond(request, answer); });
            return restinio::request_accepted();
          })
      .read_next_http_message_timelimit(std::chrono::milliseconds(options.read_timeout.value))
      .write_http_response_timelimit(std::chrono::milliseconds(options.write_timeout.value))
      .handle_request_timeout(std::chrono::milliseconds(options.handle_timeout.value))
      .max_parallel_connections(options.max_connections)
      .buffer_size(4 * 1024)
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
                                    .max_body_size(options.max_body_bytes));
  try {
    this->self->server = std::make_unique<restinio::http_server_t<listener_traits>>(
        restinio::external_io_context(io), std::move(settings));
    this->self->server->open_sync();
  } catch (const std::exception& error) {
    throw std::runtime_error("cannot listen on " + options.address + ":" +
                             std::to_string(options.port) + ": " + error.what());
  }
}

http_listener::~http_listener() {
  this->self->server->close_sync();
}

void http_listener::close_after_responses() {
  this->self->closing = true;
}

std::size_t http_listener::open_requests() const {
  return this->self->open;
}

}  // namespace monsoonmux::cell
