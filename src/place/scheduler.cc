// One round goes: stop what exceeds a lowered limit, start what fits, then help
// units that are blocked although their team is below its share. Starting takes
// the team with the least use per share first, over and over, which is weighted
// dominant-resource fairness; a team that submits more gets no more turns. The
// invariant is that worker_table and team_account change only together, in
// try_start(), adopt(), grow() and finish(). Keeping one sorted queue of all
// work, the obvious way, would let whoever submits first hold the head.

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
  const running_task* known = this->tasks.find(task);
  if (known == nullptr) {
    return;
  }
  this->table.release(known->worker, known->allocated);
  this->team_accounts.at(known->unit->team).used -= known->allocated;
  this->tasks.erase(task);
}

void scheduler::checkpointed(const task_id& task, instant at) {
  if (running_task* known = this->tasks.find(task); known != nullptr) {
    known->checkpointed = std::max(known->checkpointed, at);
  }
}

bool scheduler::grow(const task_id& task, const resources& observed) {
  running_task* known = this->tasks.find(task);
  if (known == nullptr) {
    return true;
  }
  const resources target = {std::max(known->allocated.cpu, observed.cpu),
                            std::max(known->allocated.memory, observed.memory),
                            std::max(known->allocated.accelerators, observed.accelerators)};
  const resources more = target - known->allocated;
  team_account& account = this->team_accounts.at(known->unit->team);
  const bool room =
      more.fits(this->table[known->worker].free) && (account.used + more).fits(account.allowance);
  if (!room) {
    return more.zero();
  }
  this->table.release(known->worker, known->allocated);
  this->table.force_allocate(known->worker, target);
  account.used += more;
  known->allocated = target;
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

// Urgency counts only below the team's share; else marking everything urgent
// would pay.
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

// Starts one unit of the first shape that fits and forgets those that do not.
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

bool scheduler::fits_reservation(const reservation& held) const {
  std::map<worker_index, resources> wanted;
  for (const worker_index worker : held.assigned_workers) {
    wanted[worker] += held.unit->per_task;
  }
  return std::all_of(wanted.begin(), wanted.end(), [&](const auto& item) {
    const auto& row = this->table[item.first];
    return row.usable && item.second.fits(row.free);
  });
}

// Chooses a worker for every task of the unit, or none. Reservations are made
// on trial and taken back, so that tasks of one unit see each other.
std::optional<std::vector<worker_index>> scheduler::place(const pending_unit& unit, instant now) {
  if (const reservation* held = this->reserved.of(&unit);
      held != nullptr && this->fits_reservation(*held)) {
    std::vector<worker_index> assigned_workers = held->assigned_workers;
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
      const std::size_t most = std::min(line.size(), this->options.max_blocked_per_shape);
      for (std::size_t i = 0; i < most; ++i) {
        planned += line[i]->demand();
        if (!this->unblock(line[i], account, planned, now, out)) {
          break;
        }
      }
    }
  }
}

// `planned` is what the team would use with this unit and those before it. False
// if nothing can be done for the unit, and so for those of its shape behind it.
bool scheduler::unblock(const unit_ptr& unit, const team_account& account, const resources& planned,
                        instant now, plan& out) {
  const bool within_share = this->team_accounts.usage(planned) <=
                            this->team_accounts.entitlement(account, this->active_share_sum);
  if (this->reserved.of(unit.get()) != nullptr) {
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
  // A team at its share waits for its turn like all others; one below it may
  // claim even what takes it above, or a large gang would never start.
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

// One drain per pool and kind of unit would do; one per team bounds them well
// enough and lets no team's large job wait behind another's.
void scheduler::reserve_future(const unit_ptr& unit, instant now) {
  for (const reservation& held : this->reserved.all()) {
    if (held.unit->team == unit->team && held.ready > held.created) {
      return;
    }
  }
  const auto choice =
      this->reservation_finder.find(*unit, this->table.pool_number(unit->pool), now);
  if (choice) {
    this->reserved.add({unit, choice->assigned_workers, now, choice->ready});
  }
}

// Backfilled tasks that outlive the claim they were let in before give way.
void scheduler::preempt_backfilled(instant now, plan& out) {
  const std::vector<reservation> held = this->reserved.all();
  for (const reservation& c : held) {
    if (c.ready > now) {
      continue;
    }
    for (const worker_index worker : c.assigned_workers) {
      const std::vector<running_task*> here = this->tasks.on_worker(worker);
      for (running_task* task : here) {
        if (task->backfilled && !task->stopping && task->unit->preemptible) {
          this->stop_task_or_gang(*task, stop_reason::reclaimed, out);
        }
      }
    }
  }
}

// The newest tasks go first: they lose the least work.
void scheduler::stop_over_limit(plan& out) {
  for (const auto& item : this->team_accounts.all()) {
    const team_id& team = item.first;
    const team_account& account = item.second;
    if (account.used.fits(account.allowance)) {
      continue;
    }
    std::vector<running_task*> own;
    resources rest = account.used;
    this->tasks.for_each([&](running_task& task) {
      if (task.unit->team != team) {
        return;
      }
      if (task.stopping) {
        rest -= task.allocated;
      } else {
        own.push_back(&task);
      }
    });
    std::sort(own.begin(), own.end(), [](const running_task* a, const running_task* b) {
      return std::tie(b->started, b->id) < std::tie(a->started, a->id);
    });
    for (running_task* task : own) {
      if (rest.fits(account.allowance)) {
        break;
      }
      rest -= task->allocated;
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
