#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>

#include "decide/advice_cache.h"
#include "decide/live_job.h"
#include "decide/run_time_estimator.h"
#include "decide/runner_table.h"
#include "decide/team_usage.h"
#include "model/cell_config.h"

namespace monsoonmux::cell {

// Which advice queries the daemons can take now. A daemon takes another one while the expected
// durations of those that it has, its backlog, are below a bound.
struct advice_capacity {
  std::size_t daemons = std::numeric_limits<std::int32_t>::max();  // That can take any query.
  // That can take a long one: some are kept free for short ones.
  std::size_t daemons_for_long = std::numeric_limits<std::int32_t>::max();
  // What is left of the bounds of their backlogs, in total. The last query of each may exceed it.
  millis backlog_left{std::numeric_limits<std::int32_t>::max()};
};

// The state that the leader's scheduling decisions are made from.
struct cell_state {
  cell_config config;
  std::unordered_map<job_id, live_job> jobs;
  runner_table runners;
  team_usage teams;
  advice_cache advice;
  // Number of daemons that query the advice service, each one query at a time.
  std::size_t advising_daemons = 8;
  advice_capacity advice_left;  // Of them.
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
