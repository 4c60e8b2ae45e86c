#pragma once

#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "base/quantity.h"

namespace monsoonmux::cell {

// How long tasks of a queue really take, and which runners are slow at them. What
// submitters declare is far off, so the mean of what was seen is used as soon as
// there is any.
class run_time_book {
 public:
  void note(const queue_id& queue, const std::string& runner, millis taken);
  // Time of a runner's tasks over the mean of their queues; 1 if nothing is known.
  double slowness(const std::string& runner) const;
  // Mean of the queue's tasks; `declared` while none has ended.
  millis expected(const queue_id& queue, millis declared) const;
  // True if enough tasks of the queue have ended for their mean to be relied on.
  bool learned(const queue_id& queue) const;

 private:
  struct seen_times {
    double mean_ms = 0;
    std::int64_t count = 0;
  };
  std::unordered_map<queue_id, seen_times> by_queue;
  std::unordered_map<std::string, double> slowness_by_runner;
};

}  // namespace monsoonmux::cell
