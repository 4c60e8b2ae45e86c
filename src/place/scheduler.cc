// A round stops tasks that exceed a lowered limit, starts units that fit, and then
// preempts or reserves for units that are blocked although their team is below its
// share. Each start goes to the team with the lowest usage per share, which is
// weighted dominant-resource fairness; a team that submits more work gets no more
// turns. Invariant: worker_table and team_account change only together, in
// try_start(), adopt(), grow() and finish(). A single sorted queue of all work
// would be simpler, but whoever submits first would block its head.

#include "place/scheduler.h"

#include <algorithm>
#include <tuple>

namespace monsoonmux {

std::string_view to_string(stop_reason reason) {
  switch (reason) {
    case stop_reason::reclaimed:
      return "reclaimed";
    case stop_reason::over_limit:
      return "over_limit";
    case stop_reason::cancelled:
      return "cancelled";
    case stop_reason::gang_broken:
      return "gang_broken";
    case stop_reason::oversized:
      return "oversized";
    case stop_reason::leaving:
      return "leaving";
    case stop_reason::superseded:
      return "superseded";
  }
  return "reclaimed";
}

scheduler::scheduler(scheduler_options options)
    : options(options),
      reserved(this->table),
      selector(this->table),
      victims(this->table, this->tasks, this->team_accounts),
      reservation_finder(this->table, this->tasks) {}

void scheduler::add_worker(const worker_info& info) {
  this->table.add(info);
  this->team_accounts.set_capacity(this->table.capacity());
}

void scheduler::set_usable(const worker_id& worker, bool usable) {
  const worker_index index = this->table.find(worker);
  if (index != no_worker && this->table[index].usable != usable) {
    this->table.set_usable(index, usable);
    this->team_accounts.set_capacity(this->table.capacity());
  }
}

void scheduler::set_team(const team_id& team, std::int64_t share, const resources& allowance) {
  team_account& account = this->team_accounts.at(team);
  account.share = share;
  account.allowance = allowance;
}

void scheduler::submit(const unit_ptr& unit) {
  this->team_accounts.at(unit->team).waiting.push(unit);
}

void scheduler::resubmit(const unit_ptr& unit) {
  this->team_accounts.at(unit->team).waiting.push_front(unit);
}

void scheduler::withdraw(const job_id& job) {
  for (auto& [team, account] : this->team_accounts.all()) {
    account.waiting.remove_job(job);
  }
  this->reserved.drop_job(job);
}

std::vector<task_stop> scheduler::cancel(const job_id& job, stop_reason reason) {
  this->withdraw(job);
  std::vector<task_stop> stops;
  for (running_task* task : this->tasks.of_job(job)) {
    if (!task->stopping) {
      stops.push_back(this->mark_stopping(*task, reason));
    }
  }
  return stops;
}

void scheduler::adopt(const task_id& task, unit_ptr unit, const worker_id& worker,
                      instant started) {
  const worker_index index = this->table.find(worker);
  if (index == no_worker || this->tasks.find(task) != nullptr) {
    return;
  }
  const resources amount = unit->per_task;
  this->table.force_allocate(index, amount);
  this->team_accounts.at(unit->team).used += amount;
  this->tasks.insert({task, std::move(unit), index, amount, started, started, false, false});
}

void scheduler::finish(const task_id& task) {
  const running_task* entry = this->tasks.find(task);
  if (entry == nullptr) {
    return;
  }
  this->table.release(entry->worker, entry->allocated);
  this->team_accounts.at(entry->unit->team).used -= entry->allocated;
  this->tasks.erase(task);
}

void scheduler::checkpointed(const task_id& task, instant at) {
  if (running_task* entry = this->tasks.find(task); entry != nullptr) {
    entry->checkpointed = std::max(entry->checkpointed, at);
  }
}

bool scheduler::grow(const task_id& task, const resources& observed) {
  running_task* entry = this->tasks.find(task);
  if (entry == nullptr) {
    return true;
  }
  const resources target = {std::max(entry->allocated.cpu, observed.cpu),
                            std::max(entry->allocated.memory, observed.memory),
                            std::max(entry->allocated.accelerators, observed.accelerators)};
  const resources more = target - entry->allocated;
  team_account& account = this->team_accounts.at(entry->unit->team);
  const bool fits =
      more.fits(this->table[entry->worker].free) && (account.used + more).fits(account.allowance);
  if (!fits) {
    return more.zero();
  }
  this->table.release(entry->worker, entry->allocated);
  this->table.force_allocate(entry->worker, target);
  account.used += more;
  entry->allocated = target;
  return true;
}

std::size_t scheduler::waiting() const {
  std::size_t sum = 0;
  for (const auto& [team, account] : this->team_accounts.all()) {
    sum += account.waiting.size();
  }
  return sum;
}

resources scheduler::headroom(const team_id& team) const {
  const team_account* account = this->team_accounts.find(team);
  return account == nullptr ? resources{} : account->allowance - account->used;
}

bool scheduler::fits_empty(const pending_unit& unit) {
  return this->reservation_finder.fits_empty(unit, this->table.pool_number(unit.pool));
}

plan scheduler::decide(instant now) {
  plan out;
  this->reserved.expire(now - this->options.reservation_lifetime);
  this->stop_over_limit(out);
  this->start_all(now, out);
  this->preempt_backfilled(now, out);
  this->unblock_units(now, out);
  return out;
}

std::vector<scheduler::candidate> scheduler::candidates() const {
  std::vector<candidate> out;
  for (const auto& item : this->team_accounts.all()) {
    const team_account& account = item.second;
    if (account.waiting.empty()) {
      continue;
    }
    candidate c;
    c.team = item.first;
    c.account = const_cast<team_account*>(&account);
    for (const auto& [shape, line] : account.waiting.by_shape()) {
      c.shapes.push_back(shape);
    }
    std::stable_sort(c.shapes.begin(), c.shapes.end(), [&](const auto& a, const auto& b) {
      const auto& lines = account.waiting.by_shape();
      return std::make_pair(a.normal, lines.at(a).front()->since) <
             std::make_pair(b.normal, lines.at(b).front()->since);
    });
    out.push_back(std::move(c));
  }
  return out;
}

// Urgency counts only while the team is below its share; otherwise teams would
// gain by marking all their work urgent.
void scheduler::rank(candidate& c) const {
  const double usage = this->team_accounts.usage(c.account->used);
  c.usage_per_share = usage / static_cast<double>(c.account->share);
  c.urgent = !c.shapes.empty() && !c.shapes.front().normal &&
             usage < this->team_accounts.entitlement(*c.account, this->active_share_sum);
}

void scheduler::start_all(instant now, plan& out) {
  this->active_share_sum = this->team_accounts.active_shares();
  std::vector<candidate> teams = this->candidates();
  for (candidate& c : teams) {
    this->rank(c);
  }
  while (out.starts.size() < this->options.max_starts && !teams.empty()) {
    const auto next =
        std::min_element(teams.begin(), teams.end(), [](const candidate& a, const candidate& b) {
          return std::make_tuple(!a.urgent, a.usage_per_share) <
                 std::make_tuple(!b.urgent, b.usage_per_share);
        });
    if (this->start_one(*next, now, out)) {
      this->rank(*next);
    }
    if (next->shapes.empty()) {
      teams.erase(next);
    }
  }
}

// Starts one unit of the first shape that fits, and removes the shapes that do not
// fit from the candidate.
bool scheduler::start_one(candidate& c, instant now, plan& out) {
  while (!c.shapes.empty()) {
    const pending_queue::shape shape = c.shapes.front();
    const auto& lines = c.account->waiting.by_shape();
    const auto line = lines.find(shape);
    if (line != lines.end()) {
      const unit_ptr unit = line->second.front();
      if (this->try_start(unit, *c.account, now, out)) {
        c.account->waiting.pop(shape);
        return true;
      }
    }
    c.shapes.erase(c.shapes.begin());
  }
  return false;
}

bool scheduler::try_start(const unit_ptr& unit, team_account& account, instant now, plan& out) {
  if (!(account.used + unit->demand()).fits(account.allowance)) {
    return false;
  }
  const auto assigned_workers = this->place(*unit, now);
  if (!assigned_workers) {
    return false;
  }
  const instant end = now + unit->declared_runtime;
  unit_start start{unit, {}};
  for (std::size_t i = 0; i < assigned_workers->size(); ++i) {
    const worker_index worker = (*assigned_workers)[i];
    const auto& row = this->table[worker];
    const bool backfilled = !unit->per_task.fits(row.free - row.reserved);
    this->table.allocate(worker, unit->per_task);
    const task_id id{unit->job, unit->tasks[i]};
    this->tasks.insert({id, unit, worker, unit->per_task, now, now, false,
                        backfilled && end <= row.backfill_until});
    start.tasks.push_back({id, row.info.id});
  }
  account.used += unit->demand();
  out.starts.push_back(std::move(start));
  return true;
}

bool scheduler::fits_reservation(const reservation& r) const {
  std::map<worker_index, resources> demand_by_worker;
  for (const worker_index worker : r.assigned_workers) {
    demand_by_worker[worker] += r.unit->per_task;
  }
  return std::all_of(demand_by_worker.begin(), demand_by_worker.end(), [&](const auto& item) {
    const auto& row = this->table[item.first];
    return row.usable && item.second.fits(row.free);
  });
}

// Chooses a worker for every task of the unit, or for none. Tasks are allocated
// one after another, so that each choice accounts for the unit's other tasks; the
// allocations are undone before returning.
std::optional<std::vector<worker_index>> scheduler::place(const pending_unit& unit, instant now) {
  if (const reservation* r = this->reserved.find(&unit);
      r != nullptr && this->fits_reservation(*r)) {
    std::vector<worker_index> assigned_workers = r->assigned_workers;
    this->reserved.drop(&unit);
    return assigned_workers;
  }
  const std::int32_t pool = this->table.pool_number(unit.pool);
  const instant end = now + unit.declared_runtime;
  job_spread spread;
  if (unit.kind == work_kind::service) {
    spread = this->spread_of(unit.job);
  }
  std::vector<worker_index> assigned_workers;
  for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
    const worker_index worker = this->choose(unit, pool, end, spread);
    if (worker == no_worker || !this->table.allocate(worker, unit.per_task)) {
      break;
    }
    assigned_workers.push_back(worker);
  }
  for (const worker_index worker : assigned_workers) {
    this->table.release(worker, unit.per_task);
  }
  if (assigned_workers.size() < unit.tasks.size()) {
    return std::nullopt;
  }
  this->reserved.drop(&unit);
  return assigned_workers;
}

worker_index scheduler::choose(const pending_unit& unit, std::int32_t pool, instant end,
                               job_spread& spread) {
  if (unit.kind != work_kind::service) {
    return this->selector.pack(unit, pool, end);
  }
  const worker_index worker = this->selector.spread(unit, pool, spread);
  if (worker != no_worker) {
    ++spread.on_worker[worker];
    ++spread.in_rack[this->table[worker].rack];
  }
  return worker;
}

job_spread scheduler::spread_of(const job_id& job) const {
  job_spread out;
  for (const running_task* task : this->tasks.of_job(job)) {
    ++out.on_worker[task->worker];
    ++out.in_rack[this->table[task->worker].rack];
  }
  return out;
}

void scheduler::unblock_units(instant now, plan& out) {
  this->active_share_sum = this->team_accounts.active_shares();
  for (auto& [team, account] : this->team_accounts.all()) {
    for (const auto& [shape, line] : account.waiting.by_shape()) {
      resources planned = account.used;
      const std::size_t limit = std::min(line.size(), this->options.max_blocked_per_shape);
      for (std::size_t i = 0; i < limit; ++i) {
        planned += line[i]->demand();
        if (!this->unblock(line[i], account, planned, now, out)) {
          break;
        }
      }
    }
  }
}

// Tries to preempt tasks or to reserve capacity for a blocked unit. `planned` is
// the team's usage including this unit and those ahead of it in its queue.
// Returns false if neither was possible or the new reservation is at a future
// time; the units behind this one are then not tried in this round.
bool scheduler::unblock(const unit_ptr& unit, const team_account& account, const resources& planned,
                        instant now, plan& out) {
  const bool within_share = this->team_accounts.usage(planned) <=
                            this->team_accounts.entitlement(account, this->active_share_sum);
  if (this->reserved.find(unit.get()) != nullptr) {
    return true;
  }
  if (this->reserved.size() >= this->options.max_reservations || !planned.fits(account.allowance)) {
    return false;
  }
  const millis waited = now - unit->since;
  const bool urgent = unit->priority == urgency::urgent;
  if (within_share && (urgent || waited >= this->options.reclaim_delay) &&
      this->reclaim(unit, now, out)) {
    return true;
  }
  // A team at or above its share gets no reservation. A team below its share may
  // reserve amounts that take it above; otherwise a large gang would never start.
  const bool below_share = this->team_accounts.usage(account.used) <
                           this->team_accounts.entitlement(account, this->active_share_sum);
  if (below_share && waited >= this->options.reservation_delay) {
    this->reserve_future(unit, now);
  }
  return false;
}

bool scheduler::reclaim(const unit_ptr& unit, instant now, plan& out) {
  const auto choice = this->victims.find(*unit, this->table.pool_number(unit->pool), now);
  if (!choice) {
    return false;
  }
  this->reserved.add({unit, choice->assigned_workers, now, now});
  for (running_task* victim : choice->victims) {
    this->stop_task_or_gang(*victim, stop_reason::reclaimed, out);
  }
  return true;
}

// Makes a reservation at a future time, unless the team already has one. One per
// pool and kind of unit would suffice; one per team bounds their number well
// enough, and no team's large job waits behind another team's.
void scheduler::reserve_future(const unit_ptr& unit, instant now) {
  for (const reservation& r : this->reserved.all()) {
    if (r.unit->team == unit->team && r.ready > r.created) {
      return;
    }
  }
  const auto choice =
      this->reservation_finder.find(*unit, this->table.pool_number(unit->pool), now);
  if (choice) {
    this->reserved.add({unit, choice->assigned_workers, now, choice->ready});
  }
}

// Preempts backfilled tasks that still run when a reservation on their worker is
// ready.
void scheduler::preempt_backfilled(instant now, plan& out) {
  const std::vector<reservation> snapshot = this->reserved.all();
  for (const reservation& r : snapshot) {
    if (r.ready > now) {
      continue;
    }
    for (const worker_index worker : r.assigned_workers) {
      const std::vector<running_task*> here = this->tasks.on_worker(worker);
      for (running_task* task : here) {
        if (task->backfilled && !task->stopping && task->unit->preemptible) {
          this->stop_task_or_gang(*task, stop_reason::reclaimed, out);
        }
      }
    }
  }
}

// Stops the newest tasks first, since they lose the least work.
void scheduler::stop_over_limit(plan& out) {
  for (const auto& item : this->team_accounts.all()) {
    const team_id& team = item.first;
    const team_account& account = item.second;
    if (account.used.fits(account.allowance)) {
      continue;
    }
    std::vector<running_task*> team_tasks;
    resources remaining = account.used;
    this->tasks.for_each([&](running_task& task) {
      if (task.unit->team != team) {
        return;
      }
      if (task.stopping) {
        remaining -= task.allocated;
      } else {
        team_tasks.push_back(&task);
      }
    });
    std::sort(team_tasks.begin(), team_tasks.end(),
              [](const running_task* a, const running_task* b) {
                return std::tie(b->started, b->id) < std::tie(a->started, a->id);
              });
    for (running_task* task : team_tasks) {
      if (remaining.fits(account.allowance)) {
        break;
      }
      remaining -= task->allocated;
      this->stop_task_or_gang(*task, stop_reason::over_limit, out);
    }
  }
}

void scheduler::stop_task_or_gang(running_task& task, stop_reason reason, plan& out) {
  if (task.unit->kind != work_kind::gang) {
    if (!task.stopping) {
      out.stops.push_back(this->mark_stopping(task, reason));
    }
    return;
  }
  for (running_task* member : this->tasks.of_job(task.id.job)) {
    if (!member->stopping) {
      out.stops.push_back(this->mark_stopping(*member, reason));
    }
  }
}

task_stop scheduler::mark_stopping(running_task& task, stop_reason reason) {
  task.stopping = true;
  return {task.id, this->table[task.worker].info.id, reason};
}

}  // namespace monsoonmux
