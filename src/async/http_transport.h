#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>

#include "async/metric_registry.h"
#include "base/failure.h"
#include "http/http_client.h"

namespace monsoonmux::cell {

struct transport_options {
  // Bytes are counted as bytes_sent_NAME and bytes_received_NAME.
  std::string name = "http";
  // Most connections to one peer; further requests wait for one of them.
  long connections_per_peer = 4;
  // Most idle connections that are kept open, to all peers together.
  long max_idle_connections = 128;
  // Time-out for opening a connection.
  millis connect_timeout{800};
  // A connection fails if sent bytes remain unacknowledged for this long
  // (TCP_USER_TIMEOUT).
  millis unacknowledged_timeout{1'500};
  // A request fails if nothing of its answer arrives for this many seconds, also if its own
  // time-out is longer, as that of a large answer has to be. 0: never.
  long stalled_after_s = 0;
};

// Sends HTTP requests without blocking, on the caller's event loop, over persistent
// connections. Each request has a time-out of its own: if the network path or the peer
// stops responding, the request fails and its connection is closed. The failure is not_run
// only if no byte of the request was sent. A request reaches the peer at most once, unless it is a
// GET, so that a refusal by the peer speaks of the only copy.
class http_transport {
 public:
  http_transport(asio::io_context& io, metric_registry& metrics, const transport_options& options);
  // Drops all requests in progress without calling their callbacks.
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
