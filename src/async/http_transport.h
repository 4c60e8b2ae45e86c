#pragma once

#include <asio/io_context.hpp>
#include <memory>

#include "base/failure.h"
#include "http/http_client.h"

namespace monsoonmux::cell {

struct transport_options {
  // Connections to one peer at a time; further requests wait for one of them.
  long connections_per_peer = 4;
  // Idle connections that are kept open, over all peers.
  long max_idle_connections = 128;
  // Time to open a connection.
  millis connect_timeout{800};
  // A connection whose sent bytes nobody acknowledges for this long is dead.
  millis unacknowledged_timeout{1'500};
};

// Sends HTTP requests without blocking, on the caller's event loop, over kept
// connections. Each request has a timeout of its own, so a path that went silent
// ends with a failure, and its connection is closed. The failure is not_run only
// if no byte of the request left.
class http_transport {
 public:
  http_transport(asio::io_context& io, const transport_options& options);
  // Drops all requests under way without calling their replies.
  ~http_transport();
  http_transport(const http_transport&) = delete;
  http_transport& operator=(const http_transport&) = delete;

  void send(client_request request, reply<client_answer> on_answer);
  // New connections opened so far.
  std::int64_t connections_opened() const;

 private:
  struct state;
  std::shared_ptr<state> self;
};

}  // namespace monsoonmux::cell
