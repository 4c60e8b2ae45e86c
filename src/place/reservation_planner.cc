// Sweeps over the declared ends in order of time and counts how many tasks of
// the unit fit. Declared ends are unreliable. A wrong one delays the unit but
// cannot overcommit a worker, because the unit starts only when its workers
// actually have the capacity free.

#include "place/reservation_planner.h"

#include <algorithm>
#include <limits>

namespace monsoonmux {
namespace {

// Returns how many times `each` fits into `available`, at least 0.
std::int64_t count_fitting(const resources& available, const resources& each) {
  std::int64_t n = std::numeric_limits<std::int32_t>::max();
  const auto bound = [&n](std::int64_t have, std::int64_t want) {
    if (want > 0) {
      n = std::min(n, std::max<std::int64_t>(have, 0) / want);
    }
  };
  bound(available.cpu.value, each.cpu.value);
  bound(available.memory.value, each.memory.value);
  bound(available.accelerators.value, each.accelerators.value);
  return n;
}

}  // namespace

std::vector<reservation_planner::projected_end> reservation_planner::projected_ends(
    const pending_unit& unit, std::int32_t pool, instant now) const {
  std::vector<projected_end> out;
  const auto& rows = this->workers.all();
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const auto worker = static_cast<worker_index>(i);
    if (!rows[i].usable || rows[i].pool != pool || unit.avoid.count(rows[i].info.id) != 0) {
      continue;
    }
    out.push_back({now, worker, {}});
    for (const running_task* task : this->running.on_worker(worker)) {
      if (task->unit->kind != work_kind::service) {
        out.push_back({std::max(now, task->declared_end()), worker, task->allocated});
      }
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const projected_end& a, const projected_end& b) { return a.at < b.at; });
  return out;
}

std::optional<planned_reservation> reservation_planner::find(const pending_unit& unit,
                                                             std::int32_t pool, instant now) const {
  const auto needed = static_cast<std::int64_t>(unit.tasks.size());
  std::vector<resources> available;
  std::vector<std::int64_t> slots(this->workers.all().size(), 0);
  for (const auto& row : this->workers.all()) {
    available.push_back(row.free - row.reserved);
  }
  std::int64_t total_slots = 0;
  for (const projected_end& e : this->projected_ends(unit, pool, now)) {
    const auto w = static_cast<std::size_t>(e.worker);
    available[w] += e.amount;
    total_slots -= slots[w];
    slots[w] = count_fitting(available[w], unit.per_task);
    total_slots += slots[w];
    if (total_slots < needed) {
      continue;
    }
    planned_reservation out;
    out.ready = e.at;
    for (std::size_t i = 0; i < slots.size(); ++i) {
      for (std::int64_t n = 0; n < slots[i] && out.assigned_workers.size() < unit.tasks.size();
           ++n) {
        out.assigned_workers.push_back(static_cast<worker_index>(i));
      }
    }
    return out;
  }
  return std::nullopt;
}

bool reservation_planner::fits_empty(const pending_unit& unit, std::int32_t pool) const {
  std::int64_t total_slots = 0;
  for (const auto& row : this->workers.all()) {
    if (row.pool == pool && unit.avoid.count(row.info.id) == 0) {
      total_slots += count_fitting(row.info.total, unit.per_task);
    }
  }
  return total_slots >= static_cast<std::int64_t>(unit.tasks.size());
}

}  // namespace monsoonmux
