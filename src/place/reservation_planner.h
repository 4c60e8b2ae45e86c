#pragma once

#include <optional>
#include <vector>

#include "place/running_set.h"
#include "place/worker_table.h"

namespace monsoonmux {

// The workers that a blocked unit waits for, and the time at which all of them
// have enough free capacity if running tasks end when declared.
struct planned_reservation {
  std::vector<worker_index> assigned_workers;  // One per task of the unit.
  instant ready;
};

// Finds the earliest time at which a unit that does not fit now will fit,
// assuming that every running task ends when declared. Services have no declared
// end, and their capacity counts as occupied for good. Returns nothing if the
// unit never fits. Cost: one sort of the running tasks.
class reservation_planner {
 public:
  reservation_planner(const worker_table& workers, const running_set& running)
      : workers(workers), running(running) {}

  std::optional<planned_reservation> find(const pending_unit& unit, std::int32_t pool,
                                          instant now) const;

  // True if the unit would fit if no task were running.
  bool fits_empty(const pending_unit& unit, std::int32_t pool) const;

 private:
  struct projected_end {
    instant at;
    worker_index worker = no_worker;
    resources amount;
  };

  std::vector<projected_end> projected_ends(const pending_unit& unit, std::int32_t pool,
                                            instant now) const;

  const worker_table& workers;
  const running_set& running;
};

}  // namespace monsoonmux
