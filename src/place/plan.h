#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "place/pending_unit.h"

namespace monsoonmux {

enum class stop_reason {
  reclaimed,    // Preempted for a team below its share or for a reservation.
  over_limit,   // The team's upper limit was lowered.
  cancelled,    // The job was cancelled.
  gang_broken,  // Another task of the gang ended without success.
  oversized,    // The task uses more than its worker or its team's limit allows.
  leaving,      // The worker leaves the fleet.
  superseded,   // Not the run that the scheduler has on record.
};

// Returns the enumerator's name, for example "reclaimed", as in timeline events.
std::string_view to_string(stop_reason reason);

struct task_start {
  task_id task;
  worker_id worker;
};

// The tasks of one unit; all of them are to be started.
struct unit_start {
  std::shared_ptr<const pending_unit> unit;
  std::vector<task_start> tasks;
};

struct task_stop {
  task_id task;
  worker_id worker;
  stop_reason reason = stop_reason::reclaimed;
};

// The result of one planning round. Resources of started tasks are already
// allocated; those of stopped tasks stay allocated until the worker reports the
// end.
struct plan {
  std::vector<unit_start> starts;
  std::vector<task_stop> stops;
};

}  // namespace monsoonmux
