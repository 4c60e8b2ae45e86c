// Works on a scratch copy of the amounts it changes, so that a gang either finds
// room for all its tasks or disturbs nobody. The greedy choice per worker, least
// lost work first, can stop more tasks than the optimum would; the exact choice
// is a knapsack per worker and its gain is below the error of declared run times.

#include "place/victim_finder.h"

#include <algorithm>

namespace monsoonmux {

double victim_finder::lost_work(const running_task& task, instant now) const {
  const double seconds = static_cast<double>((now - task.checkpointed).value) / 1000.0;
  const double size = this->teams.usage(task.reserved);
  if (task.unit->kind == work_kind::gang) {
    const auto members = this->running.of_job(task.id.job).size();
    return (1.0 + seconds) * size * static_cast<double>(members);
  }
  // A service has no end that a stop delays, but its users notice: last choice.
  const double weight = task.unit->kind == work_kind::service ? 1'000.0 : 1.0;
  return (1.0 + seconds) * size * weight;
}

bool victim_finder::lent(const running_task& task, const pending_unit& unit, const scratch& s,
                         std::map<team_id, resources>& used) const {
  if (task.stopping || task.unit->priority == urgency::urgent || !task.unit->preemptible ||
      task.unit->team == unit.team || s.chosen.count(&task) != 0) {
    return false;
  }
  if (task.backfilled) {
    return true;
  }
  const team_account* owner = this->teams.find(task.unit->team);
  if (owner == nullptr) {
    return true;
  }
  const auto it = used.try_emplace(task.unit->team, owner->used).first;
  const double rest = this->teams.usage(it->second - task.reserved);
  return rest >= this->teams.entitlement(*owner, s.active_shares);
}

std::optional<victim_finder::offer> victim_finder::offer_of(worker_index worker,
                                                            const pending_unit& unit,
                                                            const scratch& s, instant now) const {
  const auto& row = this->workers[worker];
  // What was stopped for earlier claims comes back, and is in those claims.
  resources open = row.free - row.claimed;
  for (const running_task* task : this->running.on_worker(worker)) {
    open += task->stopping ? task->reserved : resources{};
  }
  if (const auto taken = s.taken.find(worker); taken != s.taken.end()) {
    open -= taken->second;
  }
  offer out;
  if (unit.per_task.fits(open)) {
    return out;
  }
  std::vector<running_task*> tasks = this->running.on_worker(worker);
  std::sort(tasks.begin(), tasks.end(), [&](const running_task* a, const running_task* b) {
    const double x = this->lost_work(*a, now);
    const double y = this->lost_work(*b, now);
    return x != y ? x < y : a->id < b->id;
  });
  std::map<team_id, resources> used = s.used;
  for (running_task* task : tasks) {
    if (!this->lent(*task, unit, s, used)) {
      continue;
    }
    open += task->reserved;
    used[task->unit->team] -= task->reserved;
    out.lost += this->lost_work(*task, now);
    out.victims.push_back(task);
    if (unit.per_task.fits(open)) {
      return out;
    }
  }
  return std::nullopt;
}

void victim_finder::take(scratch& s, worker_index worker, const pending_unit& unit,
                         const offer& best, reclaim_choice& choice) const {
  choice.spots.push_back(worker);
  s.taken[worker] += unit.per_task;
  for (running_task* victim : best.victims) {
    s.taken[worker] -= victim->reserved;
    s.chosen[victim] = true;
    s.used.try_emplace(victim->unit->team, this->teams.find(victim->unit->team)->used);
    s.used[victim->unit->team] -= victim->reserved;
    choice.victims.push_back(victim);
  }
}

std::optional<reclaim_choice> victim_finder::find(const pending_unit& unit, std::int32_t pool,
                                                  instant now) const {
  scratch s;
  s.active_shares = this->teams.active_shares();
  reclaim_choice choice;
  const auto& rows = this->workers.all();
  for (std::size_t n = 0; n < unit.tasks.size(); ++n) {
    std::optional<offer> best;
    worker_index spot = no_worker;
    for (std::size_t i = 0; i < rows.size(); ++i) {
      if (!rows[i].usable || rows[i].pool != pool || unit.avoid.count(rows[i].info.id) != 0) {
        continue;
      }
      auto candidate = this->offer_of(static_cast<worker_index>(i), unit, s, now);
      if (candidate && (!best || candidate->lost < best->lost)) {
        best = std::move(candidate);
        spot = static_cast<worker_index>(i);
      }
    }
    if (!best) {
      return std::nullopt;
    }
    this->take(s, spot, unit, *best, choice);
  }
  return choice;
}

}  // namespace monsoonmux
