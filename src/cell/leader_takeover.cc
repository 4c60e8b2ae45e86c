// How a new leader restores its state from the log: all open jobs, all runs that a previous
// leader may have started, and the run-time estimates that it saved. And how it counts runs
// that it finds on runners without having restored them.

#include <algorithm>

#include "cell/leader.h"

namespace monsoonmux::cell {

void leader::take_over(const job_table& table, const cell_config& config) {
  this->state.config = config;
  this->is_active = true;
  this->active_since = this->services.time.now();
  if (table.run_times()) {
    this->state.run_times.restore(*table.run_times());
  }
  const instant now = this->services.time.now();
  this->contacts.inherit(table.contacts());
  for (const auto& [id, contact] : this->contacts.known()) {
    this->domains.note(id, contact.domain, false, now);
  }
  for (const auto& [id, record] : table.jobs()) {
    // Another daemon may have accepted the job, so its age follows only from the time of
    // day at which it was accepted.
    const std::int64_t accepted_ms = record.submission ? record.submission->accepted_ms : 0;
    const millis age{std::max<std::int64_t>(0, this->wall_ms() - accepted_ms)};
    this->adopt(record, now - age);
  }
  this->services.events.write("took_over",
                              {{"epoch", this->own_epoch.value},
                               {"open_jobs", this->state.jobs.size()},
                               {"leases_ms", (this->inherited.until.in_time - now).value},
                               {"late_leases_ms", (this->inherited.until.if_late - now).value},
                               {"bounded_runners", this->inherited.by_runner.size()}});
  this->update_attempts_when_current();
  this->contact_unlisted_runners();
  this->tick();
}

// After an outage of the log the list may lack all runners for seconds, while their leases end.
void leader::contact_unlisted_runners() {
  std::int64_t called = 0;
  for (const auto& [id, contact] : this->contacts.known()) {
    if (contact.draining) {
      this->state.runners.mark_drained(id, contact.incarnation);
    }
    if (!this->is_awaited(id)) {
      continue;
    }
    this->agents.runner_listed(id, contact.domain);
    this->session_of(id).use_last_known_address(contact);
    ++called;
  }
  this->services.events.write("unlisted_runners_called", {{"runners", called},
                                                          {"known", this->contacts.known().size()},
                                                          {"with_runs", this->sessions.size()}});
}

void leader::forget_departed_runners() {
  this->contacts.forget_departed([this](const std::string& id) { return this->is_awaited(id); });
}

bool leader::is_awaited(const std::string& runner) const {
  const auto it = this->sessions.find(runner);
  return (it != this->sessions.end() && it->second->has_runs()) || this->suspects.any_on(runner);
}

void leader::adopt(const job_record& record, instant accepted) {
  if (!record.submission || record.settled() || record.submission->spec.steps.empty()) {
    return;
  }
  const job_id id = record.submission->job;
  live_job job(*record.submission, record.progress, this->attempts_when_adopted(record),
               this->services.time.now(), accepted);
  live_job& adopted = this->state.jobs.emplace(id, std::move(job)).first->second;
  if (adopted.attempts() != record.recorded_attempts()) {
    this->writer.write(id);  // A successor may find the queue removed.
  }
  for (auto& [number, occurrence] : adopted.occurrences()) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      for (std::size_t t = 0; t < occurrence.steps[s].tasks.size(); ++t) {
        const task_ref task{{id, number, static_cast<std::int32_t>(s)},
                            static_cast<std::int32_t>(t)};
        this->adopt_run(adopted, task, occurrence.steps[s].tasks[t]);
      }
    }
  }
  if (record.cancelled && !is_final(adopted.phase())) {
    adopted.cancel();
    this->writer.write(id);
  }
  if (is_final(adopted.phase())) {
    this->stop_runs(adopted);
    this->forget_if_final(id);
  }
}

void leader::adopt_run(live_job& job, const task_ref& task, const live_task& t) {
  if (t.suspected) {
    this->state.runners.expect(t.runner);
    this->record_lapse(t.runner, {task, t.run}, t);
  }
  if (t.phase != task_phase::placed) {
    return;
  }
  const step_spec& shape = job.spec().steps[static_cast<std::size_t>(task.in.step)];
  const team_id& team = job.submission().team;
  this->state.runners.add(
      t.runner, make_allocation(this->state, job, task, t.run, this->services.time.now()));
  this->state.teams.add(team, shape.need);
  this->session_of(t.runner).recover({task, t.run}, t.runner_incarnation, shape.long_running);
}

// A run that the session stops counts like any other until its end is known: against its
// runner's capacity and, if its job is known, in its step and against its team's quota.
void leader::untracked_run_found(const std::string& runner, const run_key& run) {
  const auto it = this->state.jobs.find(run.task.in.job);
  const auto step = static_cast<std::size_t>(run.task.in.step);
  allocation found;
  found.task = run.task;
  found.run = run.run;
  found.need_known = it != this->state.jobs.end() && step < it->second.spec().steps.size();
  if (found.need_known) {
    found = make_allocation(this->state, it->second, run.task, run.run, found.since);
  }
  found.since = this->services.time.now();
  found.untracked = true;
  found.stopping = true;
  found.resumable = false;
  found.expected = millis{0};
  if (this->state.runners.add(runner, found)) {
    this->state.teams.add(found.team, found.quota_used);
  }
  this->report_untracked_run(runner, run);
  this->report_two_runs(runner, run);
  this->report_step_over_limit(runner, run);
  this->check_capacity(runner);
}

void leader::report_untracked_run(const std::string& runner, const run_key& run) {
  nlohmann::ordered_json fields{{"runner", runner},
                                {"task", run.task.text()},
                                {"run", run.run},
                                {"epoch", this->own_epoch.value},
                                {"closed_as", this->closed_as(runner, run)}};
  if (const auto earlier = this->closed.find(runner, run)) {
    fields["closed_ms_ago"] = (this->services.time.now() - earlier->at).value;
  }
  const auto it = this->state.jobs.find(run.task.in.job);
  const live_task* const task = it == this->state.jobs.end() ? nullptr : it->second.find(run.task);
  fields["job_known"] = it != this->state.jobs.end();
  if (task != nullptr) {
    fields["latest_run"] = task->run;
    fields["latest_placed_on"] = task->phase == task_phase::placed ? task->runner : "";
  }
  this->services.events.write("foreign_run_stopped", fields);
  this->services.metrics.count("foreign_runs");
}

void leader::check_capacity(const std::string& id) {
  const runner_state* const runner = this->state.runners.find(id);
  if (runner == nullptr || !runner->listed || runner->used.fits(runner->entry.capacity)) {
    return;
  }
  this->services.events.write("runner_over_capacity",
                              {{"runner", id},
                               {"epoch", this->own_epoch.value},
                               {"born", runner->entry.incarnation},
                               {"runs", runner->allocations.size()},
                               {"cpu_used", runner->used.cpu.value},
                               {"cpu", runner->entry.capacity.cpu.value},
                               {"memory_used", runner->used.memory.value},
                               {"memory", runner->entry.capacity.memory.value},
                               {"gpu_used", runner->used.accelerators.value},
                               {"gpu", runner->entry.capacity.accelerators.value}});
  this->services.metrics.count("runners_over_capacity");
}

}  // namespace monsoonmux::cell
