#pragma once

#include <map>

#include "base/clock.h"
#include "base/ids.h"

namespace monsoonmux {

// What this daemon has seen of one runner: how fast it answers, and whether it
// fails. Not thread-safe.
class runner_stats {
 public:
  void on_answer(double latency_ms);
  void on_failure(instant now);

  // Smoothed latency in ms; 0 while nothing is known, so that a new runner is
  // tried early.
  double latency() const { return this->smoothed; }
  // A runner that failed several times in a row is left out for a while.
  bool is_ejected(instant now) const { return now < this->ejected_until; }

 private:
  double smoothed = 0;
  int failures = 0;
  instant ejected_until;
};

}  // namespace monsoonmux
