#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/quantity.h"
#include "http/http_message.h"

namespace monsoonmux {

struct client_request {
  std::string method = "GET";
  std::string url;
  std::vector<header_field> headers;
  std::string body;
  millis timeout{5'000};
  std::size_t max_answer_bytes = 64 << 20;
  // Opens a new connection. Needed for requests that must run at most once: if a
  // reused connection turns out to be closed, libcurl resends the request by itself.
  bool fresh_connection = false;
};

struct client_answer {
  int status = 0;
  std::vector<header_field> headers;
  std::string body;

  std::string header(const std::string& name) const;
};

// An HTTP/1.1 client with one connection at a time, which stays open between
// requests.
//
// send() blocks until the complete answer has arrived. It fails with not_run only
// if no byte of the request was sent; otherwise the request may have run. A
// connection on which a request failed is closed. Not thread-safe.
class http_client {
 public:
  http_client();
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  result<client_answer> send(const client_request& request);
  // Bytes sent and received since the client was created.
  std::int64_t bytes() const { return this->byte_count; }
  // Closes the connection, so that the next request opens a new one.
  void close();

 private:
  struct state;
  std::unique_ptr<state> self;
  std::int64_t byte_count = 0;
};

}  // namespace monsoonmux
