#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>

#include "decide/advice_cache.h"
#include "decide/live_job.h"
#include "decide/run_time_estimator.h"
#include "decide/runner_table.h"
#include "decide/team_usage.h"
#include "model/cell_config.h"

namespace monsoonmux::cell {

// The state that the leader's scheduling decisions are made from.
struct cell_state {
  cell_config config;
  std::unordered_map<job_id, live_job> jobs;
  std::shared_ptr<runner_numbers> runner_names = std::make_shared<runner_numbers>();
  runner_table runners{runner_names};
  team_usage teams;
  advice_cache advice{runner_names};
  // Number of daemons that query the advice service, each one query at a time.
  std::size_t advising_daemons = 8;
  run_time_estimator run_times;
  // Bytes of start commands that the leader's link can carry before the next round.
  std::int64_t sendable_bytes = std::numeric_limits<std::int64_t>::max();
};

// Size of the command that starts a task with this payload, about.
std::int64_t start_command_bytes(const std::string& payload);

// Returns the processor time, memory and accelerators that a task of the step takes
// from its runner's capacity. Best-effort work takes no processor time from it.
resources allocated_resources(const step_spec& shape);

// Returns the allocation for a run of the task on its runner. `since`: when its start
// was decided, or when the current leader learned of it.
allocation make_allocation(const cell_state& state, const live_job& job, const task_ref& task,
                           std::int32_t run, instant since);

}  // namespace monsoonmux::cell
