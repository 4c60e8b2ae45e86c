#pragma once

#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "base/quantity.h"
#include "model/cell_record.h"

namespace monsoonmux::cell {

// Estimates the actual run time of the tasks of each queue and the slowdown of each
// runner. The times that submitters declare are far off on some queues and accurate on
// others: once tasks have ended, the estimate is the queue's mean run time or the declared
// time scaled by the queue's mean ratio, whichever had the smaller error so far.
class run_time_estimator {
 public:
  void add_sample(const queue_id& queue, const std::string& runner, millis declared, millis taken);
  // Run time of the runner's tasks relative to their estimates; 1 if nothing is known.
  double slowdown(const std::string& runner) const;
  // Estimated run time of a task; `declared` while no task of the queue has ended.
  millis expected(const queue_id& queue, millis declared) const;
  // True if enough tasks of the queue have ended for the estimate to be reliable.
  bool learned(const queue_id& queue) const;

  // Returns all statistics, to save for the next leader; restore() replaces the current
  // statistics by saved ones.
  run_time_stats snapshot(epoch at) const;
  void restore(const run_time_stats& from);
  // Changes with every sample.
  std::int64_t version() const { return this->sample_count; }

 private:
  static double predict(const queue_run_time_stats& stats, millis declared);

  std::unordered_map<queue_id, queue_run_time_stats> by_queue;
  std::int64_t sample_count = 0;
  std::unordered_map<std::string, double> slowdown_by_runner;
};

}  // namespace monsoonmux::cell
