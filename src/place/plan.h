#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "place/pending_unit.h"

namespace monsoonmux {

enum class stop_reason {
  reclaimed,    // Lent capacity goes back to a team below its share.
  over_limit,   // The team's upper limit was lowered.
  cancelled,    // The job was cancelled.
  gang_broken,  // Another task of the gang ended without success.
  oversized,    // It uses more than its worker can give.
  leaving,      // Its worker leaves the fleet.
  superseded,   // Not the placement that the scheduler knows.
};

// "reclaimed", "over_limit" and so on, as on the time line.
std::string_view to_string(stop_reason reason);

struct task_start {
  task_id task;
  worker_id worker;
};

// The tasks of one unit, which are to be started together.
struct unit_start {
  std::shared_ptr<const pending_unit> unit;
  std::vector<task_start> tasks;
};

struct task_stop {
  task_id task;
  worker_id worker;
  stop_reason reason = stop_reason::reclaimed;
};

// What one planning round decided. The resources of starts are reserved; those
// of stops stay reserved until the worker reports the end.
struct plan {
  std::vector<unit_start> starts;
  std::vector<task_stop> stops;
};

}  // namespace monsoonmux
