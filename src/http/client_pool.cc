#include "http/client_pool.h"

#include <map>

namespace monsoonmux {
namespace {

constexpr std::size_t max_connections_per_thread = 256;

// Returns the "http://A.B.C.D:PORT" part of a URL.
std::string origin_of(const std::string& url) {
  const std::size_t start = url.find("//");
  return url.substr(0, url.find('/', start == std::string::npos ? 0 : start + 2));
}

}  // namespace

client_pool::client_pool(int threads, std::size_t max_waiting) : max_waiting(max_waiting) {
  for (int i = 0; i < threads; ++i) {
    this->threads.emplace_back([this] { this->run(); });
  }
}

client_pool::~client_pool() {
  this->stop();
}

void client_pool::stop() {
  std::deque<job> unsent;
  {
    const std::lock_guard guard(this->lock);
    this->stopping = true;
    unsent.swap(this->jobs);
  }
  this->wake.notify_all();
  for (std::thread& t : this->threads) {
    t.join();
  }
  this->threads.clear();
  for (const job& j : unsent) {
    j.done(not_run(error_code::shutting_down, "the client is stopping"));
  }
}

void client_pool::send(client_request request, std::function<bool()> check,
                       reply<client_answer> done) {
  {
    const std::lock_guard guard(this->lock);
    if (!this->stopping && this->jobs.size() < this->max_waiting) {
      this->jobs.push_back({std::move(request), std::move(check), std::move(done)});
      this->wake.notify_one();
      return;
    }
  }
  done(not_run(error_code::overloaded, "too many requests wait"));
}

void client_pool::run() {
  std::map<std::string, http_client> clients;
  for (;;) {
    job next;
    {
      std::unique_lock guard(this->lock);
      this->wake.wait(guard, [this] { return this->stopping || !this->jobs.empty(); });
      if (this->stopping) {
        return;
      }
      next = std::move(this->jobs.front());
      this->jobs.pop_front();
    }
    if (next.check && !next.check()) {
      next.done(not_run(error_code::deadline_exceeded, "the deadline for sending passed"));
      continue;
    }
    if (clients.size() > max_connections_per_thread) {
      clients.clear();
    }
    http_client& client = clients[origin_of(next.request.url)];
    const std::int64_t before = client.bytes();
    const auto answer = client.send(next.request);
    this->byte_count += client.bytes() - before;
    next.done(answer);
  }
}

}  // namespace monsoonmux
