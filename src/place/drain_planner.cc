// Sweeps over the declared ends in order of time and counts how many tasks of
// the unit fit. Declared ends are unreliable; a wrong one costs waiting, not
// safety, because the unit starts only when its workers really have room.

#include "place/drain_planner.h"

#include <algorithm>
#include <limits>

namespace monsoonmux {
namespace {

// How many amounts `each` fit into `room`.
std::int64_t times(const resources& room, const resources& each) {
  std::int64_t n = std::numeric_limits<std::int32_t>::max();
  const auto bound = [&n](std::int64_t have, std::int64_t want) {
    if (want > 0) {
      n = std::min(n, std::max<std::int64_t>(have, 0) / want);
    }
  };
  bound(room.cpu.value, each.cpu.value);
  bound(room.memory.value, each.memory.value);
  bound(room.accelerators.value, each.accelerators.value);
  return n;
}

}  // namespace

std::vector<drain_planner::ending> drain_planner::endings(const pending_unit& unit,
                                                          std::int32_t pool, instant now) const {
  std::vector<ending> out;
  const auto& rows = this->workers.all();
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const auto worker = static_cast<worker_index>(i);
    if (!rows[i].usable || rows[i].pool != pool || unit.avoid.count(rows[i].info.id) != 0) {
      continue;
    }
    out.push_back({now, worker, {}});
    for (const running_task* task : this->running.on_worker(worker)) {
      if (task->unit->kind != work_kind::service) {
        out.push_back({std::max(now, task->declared_end()), worker, task->reserved});
      }
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const ending& a, const ending& b) { return a.at < b.at; });
  return out;
}

std::optional<drain_choice> drain_planner::find(const pending_unit& unit, std::int32_t pool,
                                                instant now) const {
  const auto wanted = static_cast<std::int64_t>(unit.tasks.size());
  std::vector<resources> room;
  std::vector<std::int64_t> slots(this->workers.all().size(), 0);
  for (const auto& row : this->workers.all()) {
    room.push_back(row.free - row.claimed);
  }
  std::int64_t found = 0;
  for (const ending& e : this->endings(unit, pool, now)) {
    const auto w = static_cast<std::size_t>(e.worker);
    room[w] += e.amount;
    found -= slots[w];
    slots[w] = times(room[w], unit.per_task);
    found += slots[w];
    if (found < wanted) {
      continue;
    }
    drain_choice out;
    out.ready = e.at;
    for (std::size_t i = 0; i < slots.size(); ++i) {
      for (std::int64_t n = 0; n < slots[i] && out.spots.size() < unit.tasks.size(); ++n) {
        out.spots.push_back(static_cast<worker_index>(i));
      }
    }
    return out;
  }
  return std::nullopt;
}

bool drain_planner::fits_empty(const pending_unit& unit, std::int32_t pool) const {
  std::int64_t found = 0;
  for (const auto& row : this->workers.all()) {
    if (row.pool == pool && unit.avoid.count(row.info.id) == 0) {
      found += times(row.info.total, unit.per_task);
    }
  }
  return found >= static_cast<std::int64_t>(unit.tasks.size());
}

}  // namespace monsoonmux
