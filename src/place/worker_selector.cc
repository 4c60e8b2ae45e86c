// One pass over the domain's workers per task. Best fit compares the remaining
// capacity as a fraction of the worker's own size, so that small tasks do not
// fragment empty accelerator hosts: for a task without accelerators, a worker's
// free accelerators count as left over, so workers without any are preferred.

#include "place/worker_selector.h"

#include <limits>
#include <tuple>

namespace monsoonmux {
namespace {

double fraction(std::int64_t part, std::int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

// Returns the fraction of the worker that stays free, summed over its resources.
double left_over(const worker_table::row& row, const resources& amount) {
  const resources left = row.free - row.reserved - amount;
  const resources& total = row.info.total;
  return fraction(left.cpu.value, total.cpu.value) +
         fraction(left.memory.value, total.memory.value) +
         fraction(left.accelerators.value, total.accelerators.value);
}

std::int32_t count_of(const std::unordered_map<std::int32_t, std::int32_t>& counts,
                      std::int32_t key) {
  const auto it = counts.find(key);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

bool worker_selector::eligible(const worker_table::row& row, const pending_unit& unit,
                               std::int32_t pool, instant end) {
  return row.usable && row.pool == pool && unit.per_task.fits(row.available(end)) &&
         (unit.avoid.empty() || unit.avoid.count(row.info.id) == 0);
}

worker_index worker_selector::pack(const pending_unit& unit, std::int32_t pool, instant end) const {
  worker_index best = no_worker;
  double least = std::numeric_limits<double>::max();
  const auto& rows = this->workers.all();
  for (std::size_t i = 0; i < rows.size(); ++i) {
    if (!eligible(rows[i], unit, pool, end)) {
      continue;
    }
    const double left = left_over(rows[i], unit.per_task);
    if (left < least) {
      least = left;
      best = static_cast<worker_index>(i);
    }
  }
  return best;
}

worker_index worker_selector::spread(const pending_unit& unit, std::int32_t pool,
                                     const job_spread& job) const {
  worker_index best = no_worker;
  auto lowest = std::make_tuple(std::numeric_limits<std::int32_t>::max(),
                                std::numeric_limits<std::int32_t>::max(), 0.0);
  const auto& rows = this->workers.all();
  for (std::size_t i = 0; i < rows.size(); ++i) {
    if (!eligible(rows[i], unit, pool, never)) {
      continue;
    }
    const auto worker = static_cast<worker_index>(i);
    const auto score =
        std::make_tuple(count_of(job.in_rack, rows[i].rack), count_of(job.on_worker, worker),
                        -left_over(rows[i], unit.per_task));
    if (score < lowest) {
      lowest = score;
      best = worker;
    }
  }
  return best;
}

}  // namespace monsoonmux
