// How a leader counts the crashes of runners under a task, so that a task that crashes each
// runner that starts it is given up. The count is part of the task's record, so it is in the
// log before the next start, and a successor goes on counting. What is only concluded from the
// absence of a runner is taken back if the runner answers.

#include <algorithm>

#include "cell/leader.h"

namespace monsoonmux::cell {
namespace {

// A lasting task that has run for so long is not the cause of its runner's crash.
constexpr millis harmless_after{30'000};
// A crash is found within this time at most, if the task has crashed its runner at once. It counts
// for crashes that a previous leader has seen.
constexpr millis usual_time_to_crash{8'000};
// A task that has run for this much longer than its crashes took to come is not their cause.
constexpr millis acquittal_margin{500};
constexpr millis judging_interval{500};
// A run may be noted so much later than it has become harmless.
constexpr millis lasting_interval{5'000};

}  // namespace

const live_task* leader::possible_cause(const run_key& run) const {
  const auto it = this->state.jobs.find(run.task.in.job);
  const live_task* const task = it == this->state.jobs.end() ? nullptr : it->second.find(run.task);
  if (task == nullptr || task->phase != task_phase::placed || task->run != run.run) {
    return nullptr;
  }
  const step_spec& shape = it->second.spec().steps[static_cast<std::size_t>(run.task.in.step)];
  const millis age = this->services.time.now() - task->placed_at;
  const bool harmless = shape.long_running && (task->lasted || age > harmless_after);
  return harmless ? nullptr : task;
}

void leader::note_lasted_runs() {
  const instant now = this->services.time.now();
  if (now - this->lasted_runs_noted < lasting_interval) {
    return;
  }
  this->lasted_runs_noted = now;
  for (auto& [id, job] : this->state.jobs) {
    if (job.note_lasted_runs(now, harmless_after)) {
      this->writer.write(id);
    }
  }
}

run_outcome leader::outcome_of_loss(const std::string& runner, const run_key& run,
                                    std::string_view why) {
  const live_task* const task = this->possible_cause(run);
  if (task == nullptr || this->was_to_leave(runner, task->runner_incarnation)) {
    return run_outcome::lost;
  }
  const bool crashed =
      why == "runner_crashed" || (why == "lease_lapsed" && this->record_lapse(runner, run, *task));
  return crashed ? run_outcome::crashed : run_outcome::lost;
}

suspected_run leader::suspect_of(const run_key& run, const live_task& task) const {
  suspected_run out;
  out.run = run;
  out.incarnation = task.runner_incarnation;
  out.lost_at = this->services.time.now();
  // An inherited run may have begun long before.
  out.ran_for = task.inherited ? millis{0} : out.lost_at - task.placed_at;
  out.was_alone = task.alone;
  return out;
}

// A lapsed lease alone says nothing of a crash, nor does a list that is out of date.
bool leader::record_lapse(const std::string& runner, const run_key& run, const live_task& task) {
  suspected_run suspect = this->suspect_of(run, task);
  const bool last_start = isolation_after(task.crashes) == isolation::alone;
  // Each crash takes a start, so most tasks need no search through all suspicions.
  const bool ends_job =
      ends_by_crashes(run.run, last_start) &&
      ends_by_crashes(task.crashes + this->suspects.uncounted(run.task) + 1, last_start);
  suspect.counted = this->suspects.absence_counts(this->absence_of(runner), ends_job);
  suspect.held = ends_job && !suspect.counted;
  live_task& suspected = *this->state.jobs.at(run.task.in.job).find(run.task);
  suspected.suspected = !suspect.counted;
  suspected.held = suspect.held;
  this->suspects.add(runner, suspect);
  return suspect.counted;
}

bool leader::would_end_job(const suspected_run& suspect) const {
  const auto it = this->state.jobs.find(suspect.run.task.in.job);
  const live_task* const task =
      it == this->state.jobs.end() ? nullptr : it->second.find(suspect.run.task);
  return task != nullptr && ends_by_crashes(task->crashes + 1, suspect.was_alone);
}

runner_absence leader::absence_of(const std::string& runner) {
  const runner_state* const known = this->state.runners.find(runner);
  if (known != nullptr && (known->listed || known->unreadable)) {
    return {};
  }
  const followed_time followed = this->followed_for(runner);
  const instant unlisted_since = known != nullptr ? known->unlisted_since : followed.since;
  return {followed.length(), followed.length_since(unlisted_since)};
}

bool leader::was_to_leave(const std::string& runner, std::int64_t incarnation) {
  const runner_state* const known = this->state.runners.find(runner);
  return known != nullptr && known->was_to_leave(incarnation);
}

bool leader::has_acquitted_itself(const std::string& runner, const run_key& run) {
  const auto it = this->state.jobs.find(run.task.in.job);
  const live_task* const task = it == this->state.jobs.end() ? nullptr : it->second.find(run.task);
  if (task == nullptr || task->phase != task_phase::placed || task->run != run.run) {
    return false;
  }
  const step_spec& shape = it->second.spec().steps[static_cast<std::size_t>(run.task.in.step)];
  const millis known = task->time_to_crash.value > 0 ? task->time_to_crash : usual_time_to_crash;
  const millis enough = known + acquittal_margin;
  const millis bound = shape.long_running ? std::min(enough, harmless_after) : enough;
  return this->session_of(runner).known_to_run(run) > bound;
}

// A count of crashes that nothing lowers would keep the runner of a lasting task, which is never
// over, from all other work for good.
void leader::acquit_tasks() {
  for (auto& [id, runner] : this->state.runners.all()) {
    if (runner.suspect_runs == 0) {
      continue;
    }
    std::vector<run_key> acquitted;
    for (const auto& [run, allocated] : runner.allocations) {
      if (allocated.kept != isolation::none && this->has_acquitted_itself(id, run)) {
        acquitted.push_back(run);
      }
    }
    for (const run_key& run : acquitted) {
      live_job& job = this->state.jobs.at(run.task.in.job);
      this->services.events.write("task_acquitted",
                                  {{"task", run.task.text()},
                                   {"run", run.run},
                                   {"runner", id},
                                   {"crashes", job.find(run.task)->crashes},
                                   {"ran_ms", this->session_of(id).known_to_run(run).value},
                                   {"time_to_crash_ms", job.find(run.task)->time_to_crash.value}});
      this->services.metrics.count("tasks_acquitted");
      job.acquit(run.task);
      this->state.runners.acquit(id, run);
      this->writer.write(run.task.in.job);
      this->request_plan();
    }
  }
}

millis leader::list_followed_for() const {
  return this->on.runners_followed().length();
}

followed_time leader::followed_for(const std::string& runner) const {
  const followed_time list = this->on.runners_followed();
  const instant begin = std::max(list.since, this->domains.seen_since(runner));
  return {begin, std::max(begin, list.until)};
}

void leader::crash_counted(const std::string& runner, const suspected_run& crashed, live_task& task,
                           const end_effect& effect) {
  task.time_to_crash = std::max(task.time_to_crash, crashed.ran_for);
  const runner_state* const known = this->state.runners.find(runner);
  const nlohmann::ordered_json fields{
      {"task", crashed.run.task.text()},
      {"run", crashed.run.run},
      {"runner", runner},
      {"crashes", task.crashes},
      {"alone", crashed.was_alone},
      {"listed", known != nullptr && known->listed},
      {"listed_incarnation", known != nullptr ? known->entry.incarnation : 0},
      {"placed_on", crashed.incarnation},
      {"missing_ms", this->absence_of(runner).missing.value},
      {"list_followed_ms", this->list_followed_for().value}};
  this->services.events.write("crash_under_task", fields);
  this->services.metrics.count("crashes_under_tasks");
  if (effect.given_up) {
    this->services.events.write("task_given_up", fields);
    this->services.metrics.count("tasks_given_up");
  }
}

void leader::confirm_suspects(const runner_entry& entry) {
  for (const suspected_run& each : this->suspects.take_confirmed(entry.id, entry.incarnation)) {
    this->settle_suspicion(each.run);
    if (!each.counted) {
      this->count_late_crash(entry.id, each);
    }
  }
}

void leader::disprove_suspects(const std::string& id) {
  const std::int64_t answered = this->session_of(id).last_incarnation();
  if (answered == 0) {
    return;
  }
  for (const suspected_run& each : this->suspects.take_disproved(id, answered)) {
    this->settle_suspicion(each.run);
    if (each.counted) {
      this->take_back(id, each);
    }
  }
}

void leader::take_back(const std::string& runner, const suspected_run& suspect) {
  const task_ref& ref = suspect.run.task;
  const auto it = this->state.jobs.find(ref.in.job);
  if (it == this->state.jobs.end() || !it->second.disprove_crash(ref, suspect.run.run)) {
    return;
  }
  const live_task& task = *it->second.find(ref);
  this->services.events.write("crash_disproved", {{"task", ref.text()},
                                                  {"run", suspect.run.run},
                                                  {"runner", runner},
                                                  {"incarnation", suspect.incarnation},
                                                  {"crashes", task.crashes}});
  this->services.metrics.count("crashes_disproved");
  if (task.phase == task_phase::placed && isolation_of(task) == isolation::none) {
    this->state.runners.acquit(task.runner, {ref, task.run});
  }
  this->writer.write(ref.in.job);
  this->request_plan();
}

void leader::judge_suspects() {
  const instant now = this->services.time.now();
  if (now - this->suspects_judged < judging_interval) {
    return;
  }
  this->suspects_judged = now;
  const auto absence = [this](const std::string& id) { return this->absence_of(id); };
  for (const runner_suspect& each : this->suspects.absent(absence)) {
    if (!this->suspects.count(each, this->would_end_job(each.suspect))) {
      continue;
    }
    this->settle_suspicion(each.suspect.run);
    if (!this->count_late_crash(each.runner, each.suspect)) {
      this->suspects.drop(each.runner, each.suspect.run);  // There is nothing to take back.
    }
  }
  const auto followed = [this](const std::string& id) { return this->followed_for(id).length(); };
  for (const suspected_run& each : this->suspects.release(now, followed)) {
    this->settle_suspicion(each.run);
  }
}

void leader::settle_suspicion(const run_key& run) {
  const auto it = this->state.jobs.find(run.task.in.job);
  live_task* const task = it == this->state.jobs.end() ? nullptr : it->second.find(run.task);
  if (task == nullptr) {
    return;
  }
  task->suspected = task->suspected && task->run != run.run;
  if (task->held) {
    task->held = this->suspects.holds(run.task);
    this->request_plan();
  }
}

bool leader::count_late_crash(const std::string& runner, const suspected_run& suspect) {
  const auto it = this->state.jobs.find(suspect.run.task.in.job);
  if (it == this->state.jobs.end() || this->was_to_leave(runner, suspect.incarnation)) {
    return false;
  }
  live_job& job = it->second;
  const end_effect effect =
      job.crashed_after_all(suspect.run.task, suspect.run.run, suspect.was_alone);
  if (!effect.counted) {
    return false;
  }
  this->crash_counted(runner, suspect, *job.find(suspect.run.task), effect);
  this->writer.write(suspect.run.task.in.job);
  if (effect.job_final) {
    this->finish_job(job);
  }
  return true;
}

}  // namespace monsoonmux::cell
