#pragma once

#include <unordered_map>

#include "decide/advice_cache.h"
#include "decide/live_job.h"
#include "decide/run_time_estimator.h"
#include "decide/runner_table.h"
#include "decide/team_usage.h"
#include "model/cell_config.h"

namespace monsoonmux::cell {

// All that an owner decides from.
struct cell_state {
  cell_config config;
  std::unordered_map<job_id, live_job> jobs;
  runner_table runners;
  team_usage teams;
  advice_cache advice;
  // Daemons that ask the advice service, one question at a time each.
  std::size_t advising_daemons = 8;
  run_time_estimator run_times;
};

// The processor time, memory and accelerators that a task of the step takes from
// its runner's room. Work that fills takes no processor time from it.
resources allocated_resources(const step_spec& shape);

// The entry that a run of the task gets in the book of its runner. `since`: when its
// start was decided, or when the present owner learned of it.
allocation make_allocation(const cell_state& state, const live_job& job, const task_ref& task,
                           std::int32_t run, instant since);

}  // namespace monsoonmux::cell
