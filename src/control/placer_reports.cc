// Processing of workers' reports. A run is identified by task, attempt and worker. A
// reported run that matches no known run is unwanted: it is stopped, or acknowledged
// if it has ended. Reports are repeated until they are acknowledged, so every step
// here has to be idempotent.

#include <algorithm>

#include "control/domain_placer.h"

namespace monsoonmux {

void domain_placer::process_report(const worker_id& worker, const worker_report& report,
                                   instant sent, instant now) {
  for (const task_report& task : report.tasks) {
    this->process_task(worker, task, now);
  }
  if (report.whole) {
    this->process_missing(worker, report, sent, now);
  } else {
    this->recheck_unconfirmed(worker, sent);
  }
}

// Only a full report can show that a start whose answer was lost never took effect.
// Requests one if a run on the worker is not confirmed as running although this
// report was requested after the start took effect or expired.
void domain_placer::recheck_unconfirmed(const worker_id& worker, instant sent) {
  const worker_index index = this->schedule->workers().find(worker);
  worker_link* link = this->links.find(worker);
  if (index == no_worker || link == nullptr) {
    return;
  }
  for (const running_task* running : this->schedule->running().on_worker(index)) {
    const task_entry* task = this->tasks.find(running->id);
    const bool unconfirmed = task != nullptr && task->stage != task_stage::running &&
                             sent > std::max(task->start_deadline, task->confirmed_at);
    if (unconfirmed) {
      link->report_number = 0;
    }
  }
}

void domain_placer::process_task(const worker_id& worker, const task_report& report, instant now) {
  job_entry* job = this->resolve_job(worker, report, now);
  if (job == nullptr) {
    return;
  }
  const auto it = job->tasks.find(report.task.index);
  if (it == job->tasks.end()) {
    // The task is terminal in the log or belongs to another domain.
    this->stop_unwanted(worker, {report.task, report.attempt}, now);
    return;
  }
  if (report.phase == report_phase::running) {
    this->process_running(worker, report, *job, it->second, now);
  } else {
    this->process_end(worker, report, *job, it->second, now);
  }
}

// Returns the job of a report, or null. Runs of a job that is not in the log are kept
// until this placer's own fencing record was read back, and are stopped after
// that.
job_entry* domain_placer::resolve_job(const worker_id& worker, const task_report& report,
                                      instant now) {
  if (job_entry* known = this->tasks.find(report.task.job); known != nullptr) {
    return known;
  }
  const auto in_log = this->state.find_job(report.task.job);
  if (in_log && !in_log->finished()) {
    this->load_job(*in_log, now);
    if (job_entry* loaded = this->tasks.find(report.task.job); loaded != nullptr) {
      return loaded;
    }
  }
  if (in_log || this->fenced) {
    this->stop_unwanted(worker, {report.task, report.attempt}, now);
    return nullptr;
  }
  return report.phase == report_phase::running ? &this->tasks.load_unlogged(report, now) : nullptr;
}

// Stops an unwanted run, and acknowledges its end in case it has ended.
void domain_placer::stop_unwanted(const worker_id& worker, const task_run& run, instant now) {
  this->acknowledge(worker, run);
  this->send_stop(worker, run, false, now);
}

void domain_placer::acknowledge(const worker_id& worker, const task_run& run) {
  if (worker_link* link = this->links.find(worker); link != nullptr) {
    link->ended.insert(run);
  }
}

void domain_placer::process_running(const worker_id& worker, const task_report& report,
                                    job_entry& job, task_entry& task, instant now) {
  const task_id& id = report.task;
  if (!task.holds_worker() && task.stage != task_stage::ended &&
      (task.may_have_run || job.unlogged || task.attempt <= report.attempt)) {
    this->adopt(worker, report, job, task, now);
  }
  if (!task.holds_worker() || task.worker != worker || task.attempt != report.attempt) {
    this->emit("run_superseded", {{"task", id.text()}, {"worker", worker.text}});
    this->stop_unwanted(worker, {id, report.attempt}, now);
    return;
  }
  if (task.stage == task_stage::starting) {
    this->on_start({id, report.attempt}, BOOST_OUTCOME_V2_NAMESPACE::success(), now);
  }
  this->schedule->checkpointed(id, now - report.since_checkpoint);
  if (!this->schedule->grow(id, report.usage) && task.stage == task_stage::running) {
    this->stop({id, worker, stop_reason::oversized}, now);
  }
}

// Takes over a run that a previous placer started.
void domain_placer::adopt(const worker_id& worker, const task_report& report, job_entry& job,
                          task_entry& task, instant now) {
  if (task.stage == task_stage::queued) {
    return;  // Unreachable: units are queued only after all reports were processed.
  }
  const worker_link* link = this->links.find(worker);
  if (this->schedule->workers().find(worker) == no_worker && link != nullptr) {
    this->schedule->add_worker({worker, link->host.pool, link->host.rack, link->host.total});
  }
  task.stage = task_stage::running;
  task.attempt = report.attempt;
  task.worker = worker;
  task.confirmed_at = now;
  task.may_have_run = false;
  task.started_ms = this->time.wall_ms() - report.age.value;
  this->schedule->adopt(report.task, task_table::running_unit(job, report.task.index, now), worker,
                        now - report.age);
  this->emit("task_adopted", {{"task", report.task.text()}, {"worker", worker.text}});
  if (job.cancelled) {
    this->stop({report.task, worker, stop_reason::cancelled}, now);
  }
}

void domain_placer::process_end(const worker_id& worker, const task_report& report, job_entry& job,
                                task_entry& task, instant now) {
  const task_run run{report.task, report.attempt};
  if (task.stage == task_stage::ended) {
    if (this->updates.count(report.task) == 0 && !this->flushing) {
      this->acknowledge(worker, run);
    }
    return;
  }
  const bool is_current =
      task.holds_worker() && task.worker == worker && task.attempt == report.attempt;
  if (report.phase == report_phase::succeeded) {
    this->process_success(worker, report, job, task, now);
    return;
  }
  this->acknowledge(worker, run);
  if (!is_current) {
    if (!task.holds_worker()) {
      task.attempt = std::max(task.attempt, report.attempt + 1);
    }
    return;
  }
  if (report.phase == report_phase::failed) {
    this->process_failure(worker, report, job, task, now);
  } else {
    this->handle_lost_run(job, report.task, task, now);
  }
}

// The first reported success of any run of the task counts, even if the run was
// already considered lost.
void domain_placer::process_success(const worker_id& worker, const task_report& report,
                                    job_entry& job, task_entry& task, instant now) {
  const task_run run{report.task, report.attempt};
  this->health.on_end(worker, job.spec.id, true, now);
  if (job.spec.kind == work_kind::service && !job.cancelled) {
    this->acknowledge(worker, run);
    if (task.holds_worker() && task.worker == worker && task.attempt == report.attempt) {
      this->schedule_retry(job, report.task, task, this->options.initial_restart_backoff, now);
    }
    return;
  }
  if (task.holds_worker() && (task.worker != worker || task.attempt != report.attempt)) {
    this->supersede(worker, report, task, now);
    return;
  }
  task.worker = worker;
  task.attempt = report.attempt;
  if (task.started_ms == 0) {
    task.started_ms = this->time.wall_ms() - report.age.value;
  }
  this->acks.push_back({worker, run});
  this->end_task(job, report.task, task, task_phase::succeeded);
}

// Stops the present run of a task that has succeeded elsewhere. The present run keeps its
// worker's capacity until it is over.
void domain_placer::supersede(const worker_id& worker, const task_report& report, task_entry& task,
                              instant now) {
  if (!task.succeeded_before) {
    task.succeeded_before =
        earlier_success{worker, report.attempt, this->time.wall_ms() - report.age.value};
  }
  this->stop({report.task, task.worker, stop_reason::superseded}, now);
}

int domain_placer::counted_failures(const task_entry& task) const {
  return static_cast<int>(
      std::count_if(task.failed_on.begin(), task.failed_on.end(),
                    [&](const worker_id& w) { return !this->health.suspect(w); }));
}

void domain_placer::process_failure(const worker_id& worker, const task_report& report,
                                    job_entry& job, task_entry& task, instant now) {
  if (this->health.on_end(worker, job.spec.id, false, now)) {
    this->emit("worker_aside", {{"worker", worker.text}});
  }
  task.failed_on.insert(worker);
  this->emit("task_failed", {{"task", report.task.text()}, {"worker", worker.text}});
  if (job.spec.kind == work_kind::service) {
    const std::int64_t doublings = std::min(task.service_failures++, 16);
    const millis delay =
        std::min(this->options.initial_restart_backoff * (std::int64_t{1} << doublings),
                 this->options.max_restart_backoff);
    this->schedule_retry(job, report.task, task, delay, now);
  } else if (!job.spec.idempotent || this->counted_failures(task) >= job.spec.max_attempts) {
    this->end_task(job, report.task, task, task_phase::failed);
    this->stop_gang(job, now);
  } else {
    this->schedule_retry(job, report.task, task, this->options.initial_restart_backoff, now);
    this->stop_gang(job, now);
  }
}

// Tasks assigned to the worker that its full report does not list have ended or
// never began there, if the report was requested after the start's deadline or
// confirmation. Equal times are inconclusive, since the clock counts in whole
// milliseconds.
void domain_placer::process_missing(const worker_id& worker, const worker_report& report,
                                    instant sent, instant now) {
  const worker_index index = this->schedule->workers().find(worker);
  if (index == no_worker) {
    return;
  }
  std::set<task_run> listed;
  for (const task_report& task : report.tasks) {
    listed.insert({task.task, task.attempt});
  }
  for (const task_id& id : this->tasks_on(index)) {
    job_entry* job = this->tasks.find(id.job);
    task_entry* task = this->tasks.find(id);
    if (job == nullptr || task == nullptr || listed.count(run_of(id, *task)) != 0) {
      continue;
    }
    const bool never_began = task->stage == task_stage::starting && sent > task->start_deadline;
    const bool no_longer_running = task->stage != task_stage::starting && sent > task->confirmed_at;
    if (never_began || no_longer_running) {
      this->handle_lost_run(*job, id, *task, now);
    }
  }
}

// Returns a copy, since ending a run modifies the scheduler's list.
std::vector<task_id> domain_placer::tasks_on(worker_index worker) const {
  std::vector<task_id> out;
  for (const running_task* task : this->schedule->running().on_worker(worker)) {
    out.push_back(task->id);
  }
  return out;
}

void domain_placer::check_unresponsive(instant now) {
  for (const auto& [worker, link] : this->links.all()) {
    if (link.failed_syncs < this->options.links.max_failed_syncs || now <= link.may_run_until) {
      continue;
    }
    const worker_index index = this->schedule->workers().find(worker);
    if (index == no_worker) {
      continue;
    }
    for (const task_id& id : this->tasks_on(index)) {
      job_entry* job = this->tasks.find(id.job);
      task_entry* task = this->tasks.find(id);
      if (job != nullptr && task != nullptr) {
        this->handle_lost_run(*job, id, *task, now);
      }
    }
  }
}

}  // namespace monsoonmux
