// Scheduling rounds and the commands that result from them. A command is built
// with the lock held and sent without it. Its deadline is derived from the
// placement lease, so a command that is delayed after the decision is refused by
// the port or by the worker.

#include <algorithm>

#include "control/domain_placer.h"

namespace monsoonmux {

void domain_placer::update_teams() {
  const config_ptr config = this->state.config();
  constexpr std::int64_t unlimited = INT64_MAX / 4;
  this->schedule->set_team(team_id(), 1, {{unlimited}, {unlimited}, {unlimited}});
  for (const auto& [team, account] : this->schedule->teams().all()) {
    if (!team.empty() && config->doc.teams.count(team) == 0) {
      this->schedule->set_team(team, 1, {});
    }
  }
  for (const auto& [team, terms] : config->doc.teams) {
    this->schedule->set_team(team, terms.share, this->budgets.allowance(team));
  }
}

void domain_placer::update_workers(instant now) {
  for (const auto& [worker, link] : this->links.all()) {
    if (link.last_report < this->acquired_at || !link.registered) {
      continue;
    }
    if (this->schedule->workers().find(worker) == no_worker) {
      this->schedule->add_worker({worker, link.host.pool, link.host.rack, link.host.total});
    }
    const bool usable = link.listed && !link.host.leaving && link.failed_syncs == 0 &&
                        !this->health.quarantined(worker, now);
    this->schedule->set_usable(worker, usable);
    if (!link.host.leaving) {
      continue;
    }
    const auto here = this->schedule->running().on_worker(this->schedule->workers().find(worker));
    for (const running_task* task : here) {
      const task_entry* entry = this->tasks.find(task->id);
      if (task->unit->preemptible && entry != nullptr && entry->stage == task_stage::running) {
        this->stop({task->id, worker, stop_reason::leaving}, now);
      }
    }
  }
}

void domain_placer::queue_ready(instant now) {
  for (auto it = this->jobs_to_queue.begin(); it != this->jobs_to_queue.end();) {
    job_entry* job = this->tasks.find(*it);
    if (job == nullptr) {
      it = this->jobs_to_queue.erase(it);
      continue;
    }
    for (const unit_ptr& unit : this->tasks.collect_ready(*job, now)) {
      const bool is_retry = job->tasks[unit->tasks.front()].attempt > 1;
      if (is_retry) {
        this->schedule->resubmit(unit);
      } else {
        this->schedule->submit(unit);
      }
    }
    const bool any_waiting =
        std::any_of(job->tasks.begin(), job->tasks.end(),
                    [](const auto& item) { return item.second.stage == task_stage::waiting; });
    it = any_waiting ? std::next(it) : this->jobs_to_queue.erase(it);
  }
}

void domain_placer::decide(instant now) {
  const plan decided = this->schedule->decide(now);
  for (const task_stop& s : decided.stops) {
    this->stop(s, now);
  }
  for (const unit_start& s : decided.starts) {
    this->start(s, now);
  }
}

void domain_placer::start(const unit_start& unit, instant now) {
  const job_entry* job = this->tasks.find(unit.unit->job);
  for (const task_start& placed : unit.tasks) {
    task_entry* task = this->tasks.find(placed.task);
    if (job == nullptr || task == nullptr) {
      this->schedule->finish(placed.task);
      continue;
    }
    this->start_task(placed, *job, *task, now);
  }
}

void domain_placer::start_task(const task_start& placed, const job_entry& job, task_entry& task,
                               instant now) {
  task.stage = task_stage::starting;
  task.worker = placed.worker;
  task.started_ms = this->time.wall_ms();
  if (job.spec.idempotent) {
    this->send_start(placed.task, placed.worker, job, task, now);
  } else {
    this->record_then_start(placed, task);
  }
}

// A task that is not idempotent is recorded as running before it starts, so that
// no later placer can conclude that it never ran. Costs one record per task.
void domain_placer::record_then_start(const task_start& placed, task_entry& task) {
  task.start_deadline = never;
  task_state state;
  state.phase = task_phase::running;
  state.attempt = task.attempt;
  state.worker = placed.worker;
  state.started_ms = task.started_ms;
  const task_updates value{{{placed.task, state}}};
  const std::int64_t generation = this->generation;
  this->out.emplace_back([self = this->shared_from_this(), generation, value, placed] {
    self->writer.append(value, never, [self, generation, placed](const result<record_outcome>& r) {
      self->locked([&](instant now) {
        const job_entry* job = self->tasks.find(placed.task.job);
        task_entry* entry = self->tasks.find(placed.task);
        if (!self->active(generation) || r.has_error() || job == nullptr || entry == nullptr ||
            entry->stage != task_stage::starting) {
          return;
        }
        self->send_start(placed.task, placed.worker, *job, *entry, now);
      });
    });
  });
}

void domain_placer::send_start(const task_id& id, const worker_id& worker, const job_entry& job,
                               task_entry& task, instant now) {
  const instant domain_lease_end = this->domain_lease.held_until();
  start_request request;
  request.domain = this->domain;
  request.number = this->domain_lease.number();
  request.not_after = this->links.command_deadline(worker, now, domain_lease_end);
  request.send_by = this->links.command_end(now, domain_lease_end);
  request.run = run_of(id, task);
  request.amount = job.spec.per_task;
  request.lease = this->options.links.task_lease;
  request.command = job.spec.command;
  task.start_deadline = request.send_by;
  this->emit("task_start", {{"task", id.text()},
                            {"team", job.spec.team.text},
                            {"worker", worker.text},
                            {"attempt", std::to_string(task.attempt)}});
  const std::int64_t generation = this->generation;
  this->out.emplace_back([self = this->shared_from_this(), generation, worker, request] {
    self->port.start(worker, request,
                     [self, generation, run = request.run](const result<void>& answer) {
                       self->locked([&](instant later) {
                         if (self->active(generation)) {
                           self->on_start(run, answer, later);
                         }
                       });
                     });
  });
}

// If the answer is lost, the task stays in `starting` until the next report that
// was requested after the start's deadline shows whether it runs.
void domain_placer::on_start(const task_run& run, const result<void>& answer, instant now) {
  job_entry* job = this->tasks.find(run.task.job);
  task_entry* task = this->tasks.find(run.task);
  if (job == nullptr || task == nullptr || task->attempt != run.attempt ||
      (task->stage != task_stage::starting && task->stage != task_stage::stopping)) {
    return;
  }
  if (answer.has_value()) {
    task->confirmed_at = now;
    if (task->stage == task_stage::starting) {
      task->stage = task_stage::running;
      this->record_state(run.task, *task, task_phase::running);
    }
    return;
  }
  if (answer.error().effect == verdict::not_run && task->stage == task_stage::starting) {
    constexpr millis pause{500};
    this->schedule_retry(*job, run.task, *task, pause, now);
    this->stop_gang(*job, now);
  }
}

void domain_placer::stop(const task_stop& value, instant now) {
  task_entry* task = this->tasks.find(value.task);
  if (task == nullptr || !task->holds_worker() || task->stage == task_stage::stopping) {
    return;
  }
  if (task->stage == task_stage::starting) {
    task->confirmed_at = task->start_deadline;
  }
  task->stage = task_stage::stopping;
  task->reason = value.reason;
  task->next_stop = now + this->options.stop_retry_interval;
  this->emit("task_stop", {{"task", value.task.text()},
                           {"worker", value.worker.text},
                           {"reason", std::string(to_string(value.reason))}});
  this->send_stop(value.worker, run_of(value.task, *task), value.reason != stop_reason::cancelled,
                  now);
}

void domain_placer::send_stop(const worker_id& worker, const task_run& run, bool checkpoint,
                              instant now) {
  stop_request request;
  request.domain = this->domain;
  request.number = this->domain_lease.number();
  request.not_after = this->links.command_deadline(worker, now, this->domain_lease.held_until());
  request.run = run;
  request.checkpoint = checkpoint;
  this->out.emplace_back([self = this->shared_from_this(), worker, request] {
    self->port.stop(worker, request, [](const result<void>&) {});
  });
  if (worker_link* link = this->links.find(worker); link != nullptr) {
    link->next_sync = std::min(link->next_sync, now + this->options.flush_interval);
  }
}

void domain_placer::retry_stops(instant now) {
  std::vector<task_id> due;
  for (const auto& [id, job] : this->tasks.all()) {
    if (!job.any_holds_worker()) {
      continue;
    }
    for (const auto& [index, task] : job.tasks) {
      if (task.stage == task_stage::stopping && task.next_stop <= now) {
        due.push_back({id, index});
      }
    }
  }
  for (const task_id& id : due) {
    task_entry* task = this->tasks.find(id);
    task->next_stop = now + this->options.stop_retry_interval;
    this->send_stop(task->worker, run_of(id, *task), task->reason != stop_reason::cancelled, now);
  }
}

// Rejects jobs that would not fit even if nothing else ran, after the workers have
// had time to be discovered, so that they do not delay other work.
void domain_placer::check_unsatisfiable(instant now) {
  constexpr millis between{1'000};
  if (!this->fenced || now < this->last_unsatisfiable_check + between ||
      now < this->acquired_at + this->options.unsatisfiable_after) {
    return;
  }
  this->last_unsatisfiable_check = now;
  std::vector<job_id> unsatisfiable;
  for (const auto& [team, account] : this->schedule->teams().all()) {
    for (const auto& [shape, line] : account.waiting.by_shape()) {
      const pending_unit& unit = *line.front();
      if (unit.avoid.empty() && now >= unit.since + this->options.unsatisfiable_after &&
          !this->schedule->fits_empty(unit)) {
        unsatisfiable.push_back(unit.job);
      }
    }
  }
  for (const job_id& id : unsatisfiable) {
    this->schedule->cancel(id, stop_reason::cancelled);
    this->emit("job_unsatisfiable", {{"job", id.text}});
    const job_unsatisfiable record{id, "no worker of the domain is large enough for its tasks"};
    this->out.emplace_back(
        [self = this->shared_from_this(), record] { self->writer.append(record, never, nullptr); });
    this->tasks.erase(id);
    this->jobs_to_queue.erase(id);
  }
}

}  // namespace monsoonmux
