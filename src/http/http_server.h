#pragma once

#include <memory>
#include <string>

#include "base/quantity.h"
#include "http/http_message.h"

namespace monsoonmux {

struct server_options {
  std::string address = "127.0.0.1";
  int port = 0;
  int threads = 2;
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_connections = 2'048;
  millis read_timeout{5'000};      // For receiving a request and for sending a response.
  millis handle_timeout{660'000};  // For the handler to respond.
};

// An HTTP/1.1 server that runs on its own threads. A request that exceeds a size
// limit, or does not arrive completely within read_timeout, closes its connection.
// The constructor throws std::runtime_error if it cannot listen on the address.
class http_server {
 public:
  http_server(const server_options& options, http_handler handler);
  // Stops listening, closes all connections, joins the threads.
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

 private:
  struct state;
  std::unique_ptr<state> self;
};

}  // namespace monsoonmux
