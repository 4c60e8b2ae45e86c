#pragma once

#include <map>
#include <set>

#include "base/clock.h"
#include "base/ids.h"

namespace monsoonmux {

struct health_options {
  int failures = 3;                   // In a row, of at least two jobs: set aside.
  millis initial_quarantine{30'000};  // First time set aside; doubled each time,
  millis max_quarantine{3'600'000};   // up to this.
};

// Tells workers that fail everything from jobs that fail everywhere.
//
// A worker is set aside when its last tasks all failed and belong to more than
// one job. It is tried again after a while; one failure then sets it aside for
// longer, one success clears it. Failures on a worker that is set aside do not
// count against the jobs.
class worker_health {
 public:
  explicit worker_health(health_options options) : options(options) {}

  // Takes note of the end of a task. Returns true if it set the worker aside.
  bool on_end(const worker_id& worker, const job_id& job, bool succeeded, instant now);
  bool quarantined(const worker_id& worker, instant now) const;
  // True if failures on the worker say nothing about a job.
  bool suspect(const worker_id& worker) const;
  std::size_t quarantined_count(instant now) const;

 private:
  struct entry {
    int failures = 0;
    std::set<job_id> jobs;
    millis next_quarantine;
    instant until;
    bool suspect = false;
  };

  health_options options;
  std::map<worker_id, entry> workers;
};

}  // namespace monsoonmux
