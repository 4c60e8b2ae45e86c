#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>

#include "base/quantity.h"
#include "http/http_message.h"

namespace monsoonmux::cell {

struct listener_options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_connections = 2'048;
  millis read_timeout{20'000};  // For the next complete request on a connection.
  millis write_timeout{10'000};
  millis handle_timeout{60'000};
};

// An HTTP/1.1 server on the caller's event loop. The handler runs on that loop.
// The constructor throws std::runtime_error if it cannot listen on the address.
class http_listener {
 public:
  http_listener(asio::io_context& io, const listener_options& options, http_handler handler);
  ~http_listener();
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;

  // From now on each response closes its connection, so that callers connect elsewhere.
  void close_after_responses();
  // Requests that the handler has received and not answered yet.
  std::size_t open_requests() const;

 private:
  struct state;
  std::shared_ptr<state> self;
};

}  // namespace monsoonmux::cell
