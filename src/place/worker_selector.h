#pragma once

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "place/pending_unit.h"
#include "place/worker_table.h"

namespace monsoonmux {

// Tells how many tasks of one job already run on a worker or in a rack, so that
// services can be spread.
struct job_spread {
  std::unordered_map<worker_index, std::int32_t> on_worker;
  std::unordered_map<std::int32_t, std::int32_t> in_rack;
};

// Chooses the worker for one task. Batch and gangs go where the least is left
// over (packing); services go to the rack, then the worker, with the fewest
// tasks of the same job, then where most is free (spreading).
//
// Only what is neither used nor claimed counts, but for packed tasks that end
// before a claim can be used (`end` is the declared end). Both return no_worker
// if one task of the unit fits nowhere; a worker that the unit avoids is out.
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
