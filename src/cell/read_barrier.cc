#include "cell/read_barrier.h"

#include <iterator>
#include <utility>

namespace monsoonmux::cell {
namespace {

constexpr millis retry_delay{150};

}  // namespace

read_barrier::read_barrier(event_loop& io, shared_log& source, std::string name,
                           log_follower& followed)
    : log(source), topic(std::move(name)), follower(followed), next_try(io) {}

read_barrier::~read_barrier() {
  *this->alive = false;
}

void read_barrier::pass(std::function<void()> on_current) {
  this->for_next.push_back(std::move(on_current));
  if (!this->in_flight) {
    this->read();
  }
}

void read_barrier::read() {
  this->in_flight = true;
  std::move(this->for_next.begin(), this->for_next.end(), std::back_inserter(this->waiting));
  this->for_next.clear();
  if (!this->follower.loaded()) {
    this->retry();
    return;
  }
  this->log.read(this->topic, this->follower.position(), millis{0},
                 [this, a = this->alive](const result<read_answer>& answer) {
                   if (*a) {
                     this->answered(answer);
                   }
                 });
}

void read_barrier::retry() {
  this->next_try.start(retry_delay, [this] { this->read(); });
}

void read_barrier::answered(const result<read_answer>& answer) {
  if (answer.has_error() || answer.value().history_dropped) {
    this->retry();  // The follower loads a topic anew of which history was dropped.
    return;
  }
  this->follower.deliver(answer.value());
  if (answer.value().next < answer.value().end) {
    this->read();
    return;
  }
  this->in_flight = false;
  const auto done = std::exchange(this->waiting, {});
  if (!this->for_next.empty()) {
    this->read();
  }
  const auto a = this->alive;
  for (const std::function<void()>& on_current : done) {
    if (*a) {
      on_current();
    }
  }
}

}  // namespace monsoonmux::cell
