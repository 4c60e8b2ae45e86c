#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <memory>
#include <string>

#include "http/http_server.h"
#include "platform/host_list.h"
#include "standin/history_recorder.h"
#include "standin/standin_faults.h"

namespace monsoonmux {

// Simulates a backend server on a port of its own. It answers a call after the
// milliseconds in the header X-Work-Ms (immediately if there is none), echoes
// X-Call-Id and the body, and counts the calls that it processes concurrently.
class standin_runner {
 public:
  standin_runner(runner_host host, int port, const standin_faults& faults,
                 history_recorder& recorder, asio::io_context& timers);

  const runner_host& description() const { return this->host; }
  int max_concurrent_calls() const { return this->max_busy; }
  std::int64_t calls() const { return this->served; }
  // If set, calls are processed but never answered, as when the connection has failed
  // without being closed.
  std::atomic<bool> unresponsive{false};
  std::atomic<bool> leaving{false};

 private:
  void handle(const http_request& request, const http_respond& respond);
  void finish(const http_request& request, const http_respond& respond);

  const runner_host host;
  const standin_faults& faults;
  history_recorder& recorder;
  asio::io_context& timers;
  std::atomic<int> busy{0};
  std::atomic<int> max_busy{0};
  std::atomic<std::int64_t> served{0};
  std::unique_ptr<http_server> server;
};

}  // namespace monsoonmux
