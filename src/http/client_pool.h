#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "http/http_client.h"

namespace monsoonmux {

// Threads that send HTTP requests and hand on the answers, for callers that must
// not block. Requests to one address by one thread share a connection. At most
// `max_waiting` requests wait; more fail at once with not_run.
class client_pool {
 public:
  client_pool(int threads, std::size_t max_waiting);
  ~client_pool();
  client_pool(const client_pool&) = delete;
  client_pool& operator=(const client_pool&) = delete;

  // Fails what waits and ends the threads after their present request. After it,
  // no reply is given any more and send() fails at once.
  void stop();

  // Bytes on the wire in both directions.
  std::int64_t bytes() const { return this->byte_count; }

  // Runs `check` just before sending; if it is false the request is not sent.
  void send(client_request request, std::function<bool()> check, reply<client_answer> done);

 private:
  struct job {
    client_request request;
    std::function<bool()> check;
    reply<client_answer> done;
  };

  void run();

  const std::size_t max_waiting;
  std::mutex lock;
  std::condition_variable wake;
  std::deque<job> jobs;
  bool stopping = false;
  std::atomic<std::int64_t> byte_count{0};
  std::vector<std::thread> threads;
};

}  // namespace monsoonmux
