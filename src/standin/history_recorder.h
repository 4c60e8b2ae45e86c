#pragma once

#include <mutex>

#include "base/clock.h"
#include "history/history_event.h"

namespace monsoonmux {

// Records the events of the stand-in's workers and runners for the history checker.
// Thread-safe.
class history_recorder {
 public:
  explicit history_recorder(const clock& time) : time(time) {}

  void add(history_event e) {
    const std::lock_guard guard(this->lock);
    e.at_ms = this->time.wall_ms();
    this->events.push_back(std::move(e));
  }
  history all() const {
    const std::lock_guard guard(this->lock);
    return this->events;
  }

 private:
  const clock& time;
  mutable std::mutex lock;
  history events;
};

}  // namespace monsoonmux
