// What happens when a run is over: again, for good, or with its gang; and how
// that gets into the log. Changes of state go through schedule_retry() and end_task()
// only, which keep scheduler, book and records in step.

#include "control/domain_placer.h"

namespace monsoonmux {

// A run is over without success or failure of its own: stopped, lapsed, or lost
// with its worker.
void domain_placer::handle_lost_run(job_entry& job, const task_id& id, task_entry& task,
                                    instant now) {
  const bool was_gang = job.spec.kind == work_kind::gang;
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
  const bool tried_enough =
      oversized && static_cast<int>(task.failed_on.size()) >= job.spec.max_attempts;
  if (job.cancelled) {
    this->end_task(job, id, task, task_phase::cancelled);
  } else if (may_not_repeat || tried_enough) {
    this->end_task(job, id, task, task_phase::failed);
  } else {
    this->schedule_retry(job, id, task, {}, now);
  }
  if (was_gang) {
    this->stop_gang(job, now);
  }
}

void domain_placer::schedule_retry(job_entry& job, const task_id& id, task_entry& task,
                                   millis delay, instant now) {
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
  this->schedule->finish(id);
  task.stage = task_stage::ended;
  this->record_state(id, task, phase);
  this->emit("task_ended", {{"task", id.text()},
                            {"team", job.spec.team.text},
                            {"worker", task.worker.text},
                            {"phase", std::string(to_string(phase))}});
}

// Takes all of the job's waiting units out of the queue, to be formed anew.
void domain_placer::requeue_all(job_entry& job) {
  this->schedule->withdraw(job.spec.id);
  for (auto& [index, task] : job.tasks) {
    if (task.stage == task_stage::queued) {
      task.stage = task_stage::waiting;
    }
  }
  this->jobs_to_queue.insert(job.spec.id);
}

// A gang runs with all its tasks or not at all: the others stop, and start again
// together once all of them have.
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

// One record is under way at a time; while the log is down, what would be many
// records merges into one. Ends are acknowledged to workers once recorded, so an
// end that was never recorded is reported again to the next placer.
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
