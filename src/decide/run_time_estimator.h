#pragma once

#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "base/quantity.h"
#include "model/cell_record.h"

namespace monsoonmux::cell {

// How long tasks of a queue really take, and which runners are slow at them. What
// submitters declare is far off on some queues and close on others: once tasks have
// ended, the queue's mean or the declared time times the usual factor is used,
// whichever was nearer so far.
class run_time_estimator {
 public:
  void add_sample(const queue_id& queue, const std::string& runner, millis declared, millis taken);
  // Time of a runner's tasks over the mean of their queues; 1 if nothing is known.
  double slowdown(const std::string& runner) const;
  // The best guess of a task's time; `declared` while no task of the queue has ended.
  millis expected(const queue_id& queue, millis declared) const;
  // True if enough tasks of the queue have ended for the guess to be relied on.
  bool learned(const queue_id& queue) const;

  // All of it, for a successor; and back. What is restored replaces what is there.
  run_time_stats snapshot(epoch at) const;
  void restore(const run_time_stats& from);
  // Changes with every run that is noted.
  std::int64_t version() const { return this->sample_count; }

 private:
  static double predict(const queue_run_time_stats& stats, millis declared);

  std::unordered_map<queue_id, queue_run_time_stats> by_queue;
  std::int64_t sample_count = 0;
  std::unordered_map<std::string, double> slowdown_by_runner;
};

}  // namespace monsoonmux::cell
