#pragma once

#include <map>
#include <set>

#include "base/clock.h"
#include "base/ids.h"

namespace monsoonmux {

struct health_options {
  int failures = 3;                   // Consecutive, of at least two jobs: quarantine.
  millis initial_quarantine{30'000};  // Doubled with each further quarantine,
  millis max_quarantine{3'600'000};   // up to this.
};

// Distinguishes workers on which every task fails from jobs that fail on every
// worker.
//
// A worker is quarantined when its most recent tasks all failed and belong to more
// than one job. After the quarantine it is used again; one failure then
// quarantines it for twice as long, and one success clears its record. Failures on
// a worker that was quarantined and has had no success since do not count against
// the jobs.
class worker_health {
 public:
  explicit worker_health(health_options options) : options(options) {}

  // Records the end of a task. Returns true if this quarantined the worker.
  bool on_end(const worker_id& worker, const job_id& job, bool succeeded, instant now);
  bool quarantined(const worker_id& worker, instant now) const;
  // True if failures on the worker are not evidence against a job.
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
