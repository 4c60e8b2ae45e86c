#pragma once

#include <map>

#include "base/clock.h"
#include "base/ids.h"

namespace monsoonmux {

// Latency and failure statistics of one runner, as observed by this daemon. Not thread-safe.
class runner_stats {
 public:
  void on_answer(double latency_ms);
  void on_failure(instant now);

  // Exponentially smoothed latency in ms; 0 until the first answer, so that a new runner is tried
  // early.
  double latency() const { return this->smoothed; }
  // True while the runner is ejected after several consecutive failures. An ejected runner is
  // chosen only if no other runner has a free slot.
  bool is_ejected(instant now) const { return now < this->ejected_until; }

 private:
  double smoothed = 0;
  int failures = 0;
  instant ejected_until;
};

}  // namespace monsoonmux
