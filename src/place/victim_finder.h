#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "place/running_set.h"
#include "place/team_table.h"
#include "place/worker_table.h"

namespace monsoonmux {

// Workers for a blocked unit, and the tasks to preempt for it.
struct preemption_choice {
  std::vector<worker_index> assigned_workers;  // One per task of the unit.
  std::vector<running_task*> victims;
};

// Finds tasks to preempt for a unit whose team is below its share.
//
// Victims are tasks of teams above their entitlement, as long as the team stays
// at or above its entitlement without them, and tasks that backfilled a
// reservation. Urgent tasks, tasks that cannot be repeated and tasks of the
// unit's own team are never preempted. The worker with the least lost work is
// chosen; preempting a task of a gang loses the work of all its tasks. Cost: one
// pass over the running tasks per task of the unit.
class victim_finder {
 public:
  victim_finder(const worker_table& workers, const running_set& running, const team_table& teams)
      : workers(workers), running(running), teams(teams) {}

  std::optional<preemption_choice> find(const pending_unit& unit, std::int32_t pool,
                                        instant now) const;

 private:
  // The effect of the choices made so far, kept apart from the tables.
  struct trial_state {
    // Capacity assigned to the unit less that of the victims.
    std::unordered_map<worker_index, resources> net_use;
    std::unordered_map<const running_task*, bool> chosen;
    std::map<team_id, resources> used;
    std::int64_t active_shares = 0;
  };
  struct preemption_option {
    double cost = 0;
    std::vector<running_task*> victims;
  };

  std::optional<preemption_option> evaluate_worker(worker_index worker, const pending_unit& unit,
                                                   const trial_state& state, instant now) const;
  bool may_preempt(const running_task& task, const pending_unit& unit, const trial_state& state,
                   std::map<team_id, resources>& used) const;
  double lost_work(const running_task& task, instant now) const;
  void commit(trial_state& state, worker_index worker, const pending_unit& unit,
              const preemption_option& best, preemption_choice& choice) const;

  const worker_table& workers;
  const running_set& running;
  const team_table& teams;
};

}  // namespace monsoonmux
