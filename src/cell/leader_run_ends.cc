// How the leader handles the end of a run: it releases the run's capacity and its share of
// the team's limits, advances or settles the job, and acknowledges the end to the runner
// once the end is in the log.

#include "cell/leader.h"

namespace monsoonmux::cell {

bool leader::release_capacity(const std::string& runner, const run_key& run) {
  runner_state* const r = this->state.runners.find(runner);
  if (r == nullptr) {
    return false;
  }
  const auto it = r->allocations.find(run);
  if (it == r->allocations.end()) {
    return false;
  }
  this->state.teams.remove(it->second.team, it->second.quota_used);
  return this->state.runners.remove(runner, run);
}

// A job is failed for good, so not by a number of attempts that the operator has raised since the
// configuration was last read.
void leader::run_ended(const std::string& runner, const run_key& run, run_outcome how,
                       const std::string& checkpoint, std::int64_t number) {
  const listed_end end{runner,     run,    how,
                       checkpoint, number, this->session_of(runner).last_incarnation()};
  const auto it = this->state.jobs.find(run.task.in.job);
  const bool would_fail = how == run_outcome::failed && it != this->state.jobs.end() &&
                          it->second.would_fail(run.task, run.run);
  if (!would_fail) {
    this->apply_run_end(end);
    return;
  }
  this->on.when_configuration_is_current([this, end, a = std::weak_ptr<bool>(this->alive)] {
    if (!a.expired()) {
      this->update_attempts();
      this->apply_run_end(end);
    }
  });
}

void leader::apply_run_end(const listed_end& end) {
  this->settle_run(end.runner, end.run, end.how, end.checkpoint);
  this->closed.add(end.runner,
                   {end.run, std::string(to_string(end.how)), this->services.time.now()});
  const auto stored = [this, end] {
    const auto it = this->sessions.find(end.runner);
    // Another incarnation numbers its ends anew.
    if (it != this->sessions.end() && it->second->last_incarnation() == end.incarnation) {
      it->second->end_stored(end.number);
    }
  };
  if (this->state.jobs.contains(end.run.task.in.job)) {
    this->writer.write(end.run.task.in.job, stored);
  } else {
    this->services.io.post([stored, a = std::weak_ptr<bool>(this->alive)] {
      if (!a.expired()) {
        stored();
      }
    });
  }
}

void leader::run_lost(const std::string& runner, const run_key& run, std::string_view why) {
  this->services.events.write(
      "run_gone", {{"task", run.task.text()}, {"run", run.run}, {"runner", runner}, {"why", why}});
  this->services.metrics.count("runs_gone");
  this->closed.add(runner, {run, std::string(why), this->services.time.now()});
  this->settle_run(runner, run, this->outcome_of_loss(runner, run, why), {});
  if (this->state.jobs.contains(run.task.in.job)) {
    this->writer.write(run.task.in.job);
  }
}

void leader::settle_run(const std::string& runner, const run_key& run, run_outcome how,
                        const std::string& checkpoint) {
  this->release_capacity(runner, run);
  this->request_plan();
  const auto it = this->state.jobs.find(run.task.in.job);
  if (it == this->state.jobs.end()) {
    return;
  }
  live_job& job = it->second;
  live_task* const task = job.find(run.task);
  // The duration of a run that was observed only in part, because it was inherited from a
  // previous leader or resumed, is no sample of how long the task takes.
  const bool current = task != nullptr && task->phase == task_phase::placed && task->run == run.run;
  const bool fully_observed = current && !task->inherited && !task->resumed;
  const instant placed_at = task != nullptr ? task->placed_at : instant{0};
  if (current) {
    task->waits_since = this->services.time.now();
  }
  const end_effect effect = job.finish(run.task, run.run, how, checkpoint);
  if (!effect.counted) {
    this->forget_if_final(run.task.in.job);
    return;
  }
  if (how == run_outcome::failed && effect.job_final) {
    this->report_failed(job, run.task);
  }
  if (how == run_outcome::crashed) {
    this->crash_counted(runner, this->suspect_of(run, *task), *task, effect);
  }
  for (const superseded_run& later : effect.superseded) {
    this->report_superseded(later, runner, run);
    this->session_of(later.runner).stop({later.task, later.run});
  }
  if (how == run_outcome::done || how == run_outcome::failed) {
    this->state.runners.record_run_outcome(runner, how == run_outcome::failed,
                                           this->services.time.now());
  }
  if (how == run_outcome::done) {
    if (fully_observed) {
      const step_spec& shape = job.spec().steps[static_cast<std::size_t>(run.task.in.step)];
      this->state.run_times.add_sample(job.submission().queue, runner, shape.estimate,
                                       this->services.time.now() - placed_at);
    }
  } else {
    this->services.events.write(
        "run_ended",
        {{"task", run.task.text()}, {"run", run.run}, {"runner", runner}, {"how", to_string(how)}});
  }
  this->services.metrics.count("runs_ended");
  this->after_end(job, run, how, effect);
}

void leader::report_superseded(const superseded_run& later, const std::string& done_on,
                               const run_key& done) {
  nlohmann::ordered_json fields{{"task", later.task.text()}, {"run", later.run},
                                {"runner", later.runner},    {"done_run", done.run},
                                {"done_on", done_on},        {"epoch", this->own_epoch.value}};
  if (const auto earlier = this->closed.find(done_on, done)) {
    fields["closed_as"] = earlier->why;
    fields["closed_ms_ago"] = (this->services.time.now() - earlier->at).value;
  }
  if (const std::optional<millis> margin = this->session_of(done_on).lapse_margin()) {
    fields["margin_ms"] = margin->value;
  }
  this->services.events.write("superseded_run_stopped", fields);
  this->services.metrics.count("superseded_runs");
}

void leader::after_end(live_job& job, const run_key& run, run_outcome how,
                       const end_effect& effect) {
  const step_spec& shape = job.spec().steps[static_cast<std::size_t>(run.task.in.step)];
  if (shape.gang && how != run_outcome::done) {
    this->stop_gang(job, run);
  }
  if (!effect.job_final) {
    if (is_final(job.phase())) {
      this->forget_if_final(run.task.in.job);
    }
    return;
  }
  this->finish_job(job);
}

void leader::finish_job(live_job& job) {
  const job_id id = job.submission().job;
  this->services.events.write("job_over", {{"job", id.text}, {"phase", to_string(job.phase())}});
  this->services.metrics.count("jobs_over");
  if (job.phase() != job_phase::completed) {
    this->stop_runs(job);
  }
  this->forget_if_final(id);
}

void leader::stop_gang(live_job& job, const run_key& run) {
  const auto it = job.occurrences().find(run.task.in.occurrence);
  if (it == job.occurrences().end()) {
    return;
  }
  const auto& members = it->second.steps[static_cast<std::size_t>(run.task.in.step)].tasks;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (members[i].phase == task_phase::placed) {
      this->session_of(members[i].runner)
          .stop({{run.task.in, static_cast<std::int32_t>(i)}, members[i].run});
    }
  }
}

void leader::forget_if_final(const job_id& id) {
  const auto it = this->state.jobs.find(id);
  if (it == this->state.jobs.end() || !is_final(it->second.phase()) ||
      it->second.has_placed_tasks()) {
    return;
  }
  this->state.advice.forget(id);
  this->writer.write(id, [this, id] {
    const auto over = this->state.jobs.find(id);
    if (over != this->state.jobs.end() && !over->second.has_placed_tasks()) {
      this->state.jobs.erase(over);
    }
  });
}

}  // namespace monsoonmux::cell
