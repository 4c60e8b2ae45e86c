#pragma once

#include <atomic>
#include <memory>
#include <thread>

#include "daemon/call_api.h"
#include "daemon/job_api.h"
#include "daemon/node.h"
#include "daemon/operator_api.h"
#include "http/http_server.h"

namespace monsoonmux {

// The HTTP front end of one daemon: passes each request to the API that handles its
// path.
class http_frontend {
 public:
  explicit http_frontend(node& daemon);
  ~http_frontend();
  http_frontend(const http_frontend&) = delete;
  http_frontend& operator=(const http_frontend&) = delete;

  // Number of requests that have not been answered yet.
  std::int64_t open_requests() const { return this->open; }

 private:
  void handle(const http_request& request, const http_respond& respond);
  http_response health() const;

  node& daemon;
  call_api calls;
  job_api jobs;
  operator_api operators;
  std::atomic<std::int64_t> open{0};
  std::atomic<bool> stopping{false};
  std::thread wait_thread;
  std::unique_ptr<http_server> server;
};

}  // namespace monsoonmux
