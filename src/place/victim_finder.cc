// Works on a copy of the amounts it changes, so that a gang either finds capacity
// for all its tasks or preempts nothing. The greedy choice per worker, least lost
// work first, can preempt more tasks than necessary. The optimum is a knapsack
// problem per worker, and its gain is below the error of declared run times.

#include "place/victim_finder.h"

#include <algorithm>

namespace monsoonmux {

double victim_finder::lost_work(const running_task& task, instant now) const {
  const double seconds = static_cast<double>((now - task.checkpointed).value) / 1000.0;
  const double size = this->teams.usage(task.allocated);
  if (task.unit->kind == work_kind::gang) {
    const auto members = this->running.of_job(task.id.job).size();
    return (1.0 + seconds) * size * static_cast<double>(members);
  }
  // Stopping a service delays no completion but interrupts its users, so services
  // are preempted last.
  const double weight = task.unit->kind == work_kind::service ? 1'000.0 : 1.0;
  return (1.0 + seconds) * size * weight;
}

bool victim_finder::may_preempt(const running_task& task, const pending_unit& unit,
                                const trial_state& state,
                                std::map<team_id, resources>& used) const {
  if (task.stopping || task.unit->priority == urgency::urgent || !task.unit->preemptible ||
      task.unit->team == unit.team || state.chosen.count(&task) != 0) {
    return false;
  }
  if (task.backfilled) {
    return true;
  }
  const team_account* account = this->teams.find(task.unit->team);
  if (account == nullptr) {
    return true;
  }
  const auto it = used.try_emplace(task.unit->team, account->used).first;
  const double remaining = this->teams.usage(it->second - task.allocated);
  return remaining >= this->teams.entitlement(*account, state.active_shares);
}

std::optional<victim_finder::preemption_option> victim_finder::evaluate_worker(
    worker_index worker, const pending_unit& unit, const trial_state& state, instant now) const {
  const auto& row = this->workers[worker];
  // The resources of stopping tasks will be released. Those stopped for an earlier
  // reservation are part of `row.reserved`, so they are not counted twice.
  resources available = row.free - row.reserved;
  for (const running_task* task : this->running.on_worker(worker)) {
    available += task->stopping ? task->allocated : resources{};
  }
  if (const auto net_use = state.net_use.find(worker); net_use != state.net_use.end()) {
    available -= net_use->second;
  }
  preemption_option out;
  if (unit.per_task.fits(available)) {
    return out;
  }
  std::vector<running_task*> tasks = this->running.on_worker(worker);
  std::sort(tasks.begin(), tasks.end(), [&](const running_task* a, const running_task* b) {
    const double x = this->lost_work(*a, now);
    const double y = this->lost_work(*b, now);
    return x != y ? x < y : a->id < b->id;
  });
  std::map<team_id, resources> used = state.used;
  for (running_task* task : tasks) {
    if (!this->may_preempt(*task, unit, state, used)) {
      continue;
    }
    available += task->allocated;
    used[task->unit->team] -= task->allocated;
    out.cost += this->lost_work(*task, now);
    out.victims.push_back(task);
    if (unit.per_task.fits(available)) {
      return out;
    }
  }
  return std::nullopt;
}

void victim_finder::commit(trial_state& state, worker_index worker, const pending_unit& unit,
                           const preemption_option& best, preemption_choice& choice) const {
  choice.assigned_workers.push_back(worker);
  state.net_use[worker] += unit.per_task;
  for (running_task* victim : best.victims) {
    state.net_use[worker] -= victim->allocated;
    state.chosen[victim] = true;
    state.used.try_emplace(victim->unit->team, this->teams.find(victim->unit->team)->used);
    state.used[victim->unit->team] -= victim->allocated;
    choice.victims.push_back(victim);
  }
}

std::optional<preemption_choice> victim_finder::find(const pending_unit& unit, std::int32_t pool,
                                                     instant now) const {
  trial_state state;
  state.active_shares = this->teams.active_shares();
  preemption_choice choice;
  const auto& rows = this->workers.all();
  for (std::size_t n = 0; n < unit.tasks.size(); ++n) {
    std::optional<preemption_option> best;
    worker_index best_worker = no_worker;
    for (std::size_t i = 0; i < rows.size(); ++i) {
      if (!rows[i].usable || rows[i].pool != pool || unit.avoid.count(rows[i].info.id) != 0) {
        continue;
      }
      auto candidate = this->evaluate_worker(static_cast<worker_index>(i), unit, state, now);
      if (candidate && (!best || candidate->cost < best->cost)) {
        best = std::move(candidate);
        best_worker = static_cast<worker_index>(i);
      }
    }
    if (!best) {
      return std::nullopt;
    }
    this->commit(state, best_worker, unit, *best, choice);
  }
  return choice;
}

}  // namespace monsoonmux
