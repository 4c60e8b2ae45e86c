// How a leader counts the crashes of runners under a task, so that a task that crashes each
// runner that starts it is given up. The count is part of the task's record, so it is in the
// log before the next start, and a successor goes on counting.

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

}  // namespace

const live_task* leader::possible_cause(const run_key& run) const {
  const auto it = this->state.jobs.find(run.task.in.job);
  const live_task* const task = it == this->state.jobs.end() ? nullptr : it->second.find(run.task);
  if (task == nullptr || task->phase != task_phase::placed || task->run != run.run) {
    return nullptr;
  }
  const step_spec& shape = it->second.spec().steps[static_cast<std::size_t>(run.task.in.step)];
  const millis age = this->services.time.now() - task->placed_at;
  return shape.long_running && age > harmless_after ? nullptr : task;
}

// A lapsed lease alone says nothing of a crash. But it counts as one if the runner has left the
// list meanwhile, since it may be back under another id, and for a task that has few starts left,
// since its runner may be back only after those.
run_outcome leader::outcome_of_loss(const std::string& runner, const run_key& run,
                                    std::string_view why) {
  const live_task* const task = this->possible_cause(run);
  const bool lapsed = why == "lease_lapsed";
  if (task == nullptr || (!lapsed && why != "runner_crashed") ||
      this->was_to_leave(runner, task->runner_incarnation)) {
    return run_outcome::lost;
  }
  const runner_state* const known = this->state.runners.find(runner);
  const bool left = known == nullptr || !known->listed;
  if (lapsed && !left && isolation_after(task->crashes) != isolation::alone) {
    this->lapsed_runs[runner].push_back({run, task->runner_incarnation});
    return run_outcome::lost;
  }
  return run_outcome::crashed;
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

void leader::report_crash(const std::string& runner, const run_key& run, const live_task& task,
                          const end_effect& effect) {
  const runner_state* const known = this->state.runners.find(runner);
  const nlohmann::ordered_json fields{
      {"task", run.task.text()},
      {"run", run.run},
      {"runner", runner},
      {"crashes", task.crashes},
      {"alone", task.alone},
      {"listed", known != nullptr && known->listed},
      {"listed_incarnation", known != nullptr ? known->entry.incarnation : 0},
      {"list_followed_ms", this->list_followed_for().value}};
  this->services.events.write("crash_under_task", fields);
  this->services.metrics.count("crashes_under_tasks");
  if (effect.given_up) {
    this->services.events.write("task_given_up", fields);
    this->services.metrics.count("tasks_given_up");
  }
}

void leader::count_late_crashes(const runner_entry& entry) {
  const auto it = this->lapsed_runs.find(entry.id);
  if (it == this->lapsed_runs.end()) {
    return;
  }
  const std::vector<lapsed_run> lapsed = std::move(it->second);
  this->lapsed_runs.erase(it);
  for (const lapsed_run& each : lapsed) {
    if (each.incarnation != 0 && each.incarnation != entry.incarnation) {
      this->count_late_crash(entry.id, each.run);
    }
  }
}

void leader::count_late_crash(const std::string& runner, const run_key& run) {
  const auto it = this->state.jobs.find(run.task.in.job);
  if (it == this->state.jobs.end()) {
    return;
  }
  live_job& job = it->second;
  const end_effect effect = job.crashed_after_all(run.task, run.run);
  if (!effect.counted) {
    return;
  }
  this->report_crash(runner, run, *job.find(run.task), effect);
  this->writer.write(run.task.in.job);
  if (effect.job_final) {
    this->finish_job(job);
  }
}

}  // namespace monsoonmux::cell
