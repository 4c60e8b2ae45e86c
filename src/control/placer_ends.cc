// The end of a run: the task is retried or ends for good, its gang is stopped, and
// the new state is recorded in the log. The state of a task changes here only
// through schedule_retry() and end_task(), which keep the scheduler, the task table
// and the records consistent.

#include "control/domain_placer.h"

namespace monsoonmux {

// Handles the end of a run that neither succeeded nor failed by itself: it was
// stopped, its lease expired, or its worker was lost.
void domain_placer::handle_lost_run(job_entry& job, const task_id& id, task_entry& task,
                                    instant now) {
  const bool is_gang = job.spec.kind == work_kind::gang;
  this->emit("run_over",
             {{"task", id.text()},
              {"worker", task.worker.text},
              {"reason",
               task.stage == task_stage::stopping ? std::string(to_string(task.reason)) : "lost"}});
  const bool oversized =
      task.stage == task_stage::stopping && task.reason == stop_reason::oversized;
  if (oversized) {
    task.failed_on.insert(task.worker);
  }
  const bool began = task.stage != task_stage::starting && !job.unlogged;
  const bool may_not_repeat = began && !job.spec.idempotent;
  const bool attempts_exhausted =
      oversized && static_cast<int>(task.failed_on.size()) >= job.spec.max_attempts;
  if (job.cancelled) {
    this->end_task(job, id, task, task_phase::cancelled);
  } else if (may_not_repeat || attempts_exhausted) {
    this->end_task(job, id, task, task_phase::failed);
  } else {
    this->schedule_retry(job, id, task, {}, now);
  }
  if (is_gang) {
    this->stop_gang(job, now);
  }
}

void domain_placer::schedule_retry(job_entry& job, const task_id& id, task_entry& task,
                                   millis delay, instant now) {
  if (task.succeeded_before) {
    this->end_task(job, id, task, task_phase::succeeded);
    return;
  }
  this->schedule->finish(id);
  ++task.attempt;
  task.stage = task_stage::waiting;
  task.ready = now + delay;
  task.worker = {};
  task.started_ms = 0;
  this->record_state(id, task, task_phase::pending);
  this->jobs_to_queue.insert(job.spec.id);
}

void domain_placer::end_task(job_entry& job, const task_id& id, task_entry& task,
                             task_phase phase) {
  if (task.stage == task_stage::queued) {
    this->requeue_all(job);
  }
  if (task.succeeded_before) {
    this->use_earlier_success(id, task);
    phase = task_phase::succeeded;
  }
  this->schedule->finish(id);
  task.stage = task_stage::ended;
  this->record_state(id, task, phase);
  this->emit("task_ended", {{"task", id.text()},
                            {"team", job.spec.team.text},
                            {"worker", task.worker.text},
                            {"phase", std::string(to_string(phase))}});
}

void domain_placer::use_earlier_success(const task_id& id, task_entry& task) {
  const earlier_success& earlier = *task.succeeded_before;
  task.worker = earlier.worker;
  task.attempt = earlier.attempt;
  task.started_ms = earlier.started_ms;
  this->acks.push_back({earlier.worker, run_of(id, task)});
}

// Removes all of the job's units from the scheduler's queue. They are formed again
// from the remaining tasks.
void domain_placer::requeue_all(job_entry& job) {
  this->schedule->withdraw(job.spec.id);
  for (auto& [index, task] : job.tasks) {
    if (task.stage == task_stage::queued) {
      task.stage = task_stage::waiting;
    }
  }
  this->jobs_to_queue.insert(job.spec.id);
}

// A gang runs with all its tasks or not at all. Stops the other tasks; the gang
// starts again once all of them have stopped.
void domain_placer::stop_gang(job_entry& job, instant now) {
  if (job.spec.kind != work_kind::gang) {
    return;
  }
  for (auto& [index, task] : job.tasks) {
    if (task.stage == task_stage::starting || task.stage == task_stage::running) {
      this->stop({{job.spec.id, index}, task.worker, stop_reason::gang_broken}, now);
    }
  }
}

void domain_placer::record_state(const task_id& id, const task_entry& task, task_phase phase) {
  task_state state;
  state.phase = phase;
  state.attempt = task.attempt;
  state.worker = task.worker;
  state.failures = static_cast<std::int32_t>(task.failed_on.size());
  state.started_ms = task.started_ms;
  state.ended_ms = terminal(phase) ? this->time.wall_ms() : 0;
  this->updates[id].merge(state);
}

// Unless `at_once`, only one record is in flight at a time, so updates made while
// the log is unavailable are merged into one record. Ends are acknowledged to
// workers only after they were recorded; an end that was never recorded is
// reported again to the next placer.
void domain_placer::flush_updates(instant now, bool at_once) {
  const bool due = now >= this->last_flush + this->options.flush_interval && !this->flushing;
  if (this->updates.empty() || (!due && !at_once)) {
    return;
  }
  this->last_flush = now;
  this->flushing = true;
  task_updates value;
  for (const auto& [id, state] : this->updates) {
    value.updates.push_back({id, state});
  }
  this->updates.clear();
  const std::vector<ack> done = std::move(this->acks);
  this->acks.clear();
  const std::int64_t generation = this->generation;
  this->out.emplace_back([self = this->shared_from_this(), generation, value, done] {
    self->writer.append(value, never,
                        [self, generation, value, done](const result<record_outcome>& r) {
                          self->locked([&](instant) {
                            if (!self->active(generation)) {
                              return;
                            }
                            self->flushing = false;
                            for (const ack& a : done) {
                              if (r.has_value()) {
                                self->acknowledge(a.worker, a.run);
                              }
                            }
                            for (const task_update& u : value.updates) {
                              const job_entry* job = self->tasks.find(u.id.job);
                              if (job != nullptr && job->all_ended()) {
                                self->tasks.erase(u.id.job);
                                self->jobs_to_queue.erase(u.id.job);
                              }
                            }
                          });
                        });
  });
}

}  // namespace monsoonmux
