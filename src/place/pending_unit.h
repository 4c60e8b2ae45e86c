#pragma once

#include <set>
#include <vector>

#include "base/clock.h"
#include "state/job.h"

namespace monsoonmux {

// A group of tasks that start together: one task of a batch job or service, or
// all unfinished tasks of a gang.
struct pending_unit {
  job_id job;
  team_id team;
  pool_id pool;
  work_kind kind = work_kind::batch;
  urgency priority = urgency::normal;
  resources per_task;
  millis declared_runtime;
  std::vector<std::int32_t> tasks;
  instant since;              // When the unit began to wait.
  std::set<worker_id> avoid;  // Workers on which its tasks have failed.
  bool preemptible = true;    // Its tasks may be stopped and run again.

  resources demand() const {
    return this->per_task * static_cast<std::int64_t>(this->tasks.size());
  }
};

}  // namespace monsoonmux
