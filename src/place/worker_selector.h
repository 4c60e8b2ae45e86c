#pragma once

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "place/pending_unit.h"
#include "place/worker_table.h"

namespace monsoonmux {

// How many tasks of one job run on each worker and in each rack; used to spread
// services.
struct job_spread {
  std::unordered_map<worker_index, std::int32_t> on_worker;
  std::unordered_map<std::int32_t, std::int32_t> in_rack;
};

// Selects the worker for one task. pack() is for batch and gang tasks and uses
// best fit: the worker with the least capacity left over. spread() is for
// services: the rack, then the worker, with the fewest tasks of the same job,
// then the worker with the most free capacity.
//
// Only capacity that is neither allocated nor reserved is available, except that
// pack() may use reserved capacity for a task whose declared end `end` is before
// the reservation is ready (backfill). Both return no_worker if a task of the
// unit fits on no worker. Workers that the unit avoids are not considered.
class worker_selector {
 public:
  explicit worker_selector(const worker_table& workers) : workers(workers) {}

  worker_index pack(const pending_unit& unit, std::int32_t pool, instant end) const;
  worker_index spread(const pending_unit& unit, std::int32_t pool, const job_spread& job) const;

 private:
  static bool eligible(const worker_table::row& row, const pending_unit& unit, std::int32_t pool,
                       instant end);

  const worker_table& workers;
};

}  // namespace monsoonmux
