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

// A pool of threads that send HTTP requests and pass the answers to callbacks, for
// callers that must not block. The requests of one thread to one address share a
// connection. At most `max_waiting` requests are queued; further ones fail
// immediately with not_run.
class client_pool {
 public:
  client_pool(int threads, std::size_t max_waiting);
  ~client_pool();
  client_pool(const client_pool&) = delete;
  client_pool& operator=(const client_pool&) = delete;

  // Fails the queued requests and ends the threads after their current request.
  // After stop() has returned, earlier requests get no more callbacks and send()
  // fails immediately.
  void stop();

  // Bytes sent and received by all threads.
  std::int64_t bytes() const { return this->byte_count; }

  // Calls `check`, if there is one, just before sending. If it returns false, the
  // request is not sent and fails with not_run.
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
