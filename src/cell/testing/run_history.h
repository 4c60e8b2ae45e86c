#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "cell/testing/run_observer.h"
#include "decide/task_ref.h"
#include "model/cell_config.h"
#include "model/job_spec.h"
#include "model/runner_entry.h"

namespace monsoonmux::cell {

// A job as it was submitted, and the pool to which its queue sends it.
struct submitted_job {
  job_spec spec;
  pool_id pool;
  std::optional<advice_config> advice = std::nullopt;  // Of its queue.
};

// The history of runs on all runners, and the violations of the scheduler's guarantees.
struct run_history {
  std::vector<std::string> broken;
  std::map<std::string, int> running;  // Number of runs by task, on runners that are up.
  std::set<std::string> done;          // Tasks that ended done.
  std::set<std::string> done_acked;    // Tasks of which such an end was acknowledged.
  std::map<std::string, std::set<int>> failed_runs;  // By task; as their runners listed them.
  std::int64_t starts = 0;
  // The most runs that may be on runners at once, by the first characters of their job's id:
  // the limit of a team whose jobs are named so.
  std::map<std::string, int> limits;
  std::map<std::string, int> most_together;  // Tasks of one step that ran at once, by step.
  // Size of the gangs of which the jobs' ids begin so.
  std::map<std::string, int> gangs;
  // Members of a gang that run or are done under one run number, by step and run number.
  std::map<std::pair<std::string, int>, int> present;
  std::map<std::string, submitted_job> jobs;  // By id.
  // Tasks on each runner, also those that are being stopped, until the runner lists their
  // ends.
  std::map<std::string, std::set<std::string>> on_runner;
  run_observer* observer = nullptr;  // If there is one.

  // Tasks that crash the runners that start them: the first characters of their names.
  std::set<std::string> deadly;
  std::map<std::string, int> crashes;  // Runners that crashed under a task, by task.
  // Runners that crashed with an end of the task that no daemon had acknowledged, so that nobody
  // may know of that end; by task.
  std::map<std::string, int> crashes_with_end;
  std::map<std::string, int> failures;  // Runs that ended as failed, by task.
  // The incarnations of runners that crashed, by the runner's id.
  std::set<std::pair<std::string, std::int64_t>> crashed_incarnations;
  // Those of runners whose entries were removed although they were up.
  std::set<std::pair<std::string, std::int64_t>> hidden_incarnations;
  std::map<std::string, int> starts_of;          // By task.
  std::map<std::string, int> starts_beyond;      // Starts after too many crashes, by task.
  static constexpr int crashes_until_bound = 3;  // Runners that crash under a task ...
  static constexpr int starts_until_broken = 3;  // ... until so many starts are too many.

  bool is_deadly(const std::string& task) const {
    return std::any_of(this->deadly.begin(), this->deadly.end(),
                       [&task](const std::string& prefix) { return task.starts_with(prefix); });
  }
  // Records that a runner has crashed on which the task ran.
  void crashed_under(const std::string& task) { ++this->crashes[task]; }
  // Checks that a task that crashes its runners is not started for ever.
  void check_budget(instant at, const std::string& task) {
    ++this->starts_of[task];
    if (!this->is_deadly(task) || this->crashes[task] < crashes_until_bound) {
      return;
    }
    if (++this->starts_beyond[task] >= starts_until_broken) {
      this->fail(at, task + " starts although " + std::to_string(this->crashes[task]) +
                         " runners have crashed under it");
    }
  }

  static std::string step_of(const std::string& task) {
    return task.substr(0, task.rfind('.') + 1);
  }
  // True if the task is a member of a gang of which other members do not run.
  bool alone(const std::string& task, int run) const {
    for (const auto& [prefix, size] : this->gangs) {
      const auto members = this->present.find({step_of(task), run});
      if (task.starts_with(prefix) && members != this->present.end()) {
        return members->second < size;
      }
    }
    return false;
  }

  // The step of the task as it was submitted; null: nobody submitted such a task.
  const step_spec* shape_of(const task_ref& task) const {
    const auto job = this->jobs.find(task.in.job.text);
    const auto step = static_cast<std::size_t>(task.in.step);
    if (job == this->jobs.end() || step >= job->second.spec.steps.size()) {
      return nullptr;
    }
    const step_spec& shape = job->second.spec.steps[step];
    return task.index < shape.count ? &shape : nullptr;
  }
  const step_spec* shape_of(const std::string& task) const {
    const auto parsed = parse_task_ref(task);
    return parsed ? this->shape_of(*parsed) : nullptr;
  }
  // The terms of the tickets that the task's starts need; null: they need none.
  const advice_config* advice_for(const task_ref& task) const {
    const auto job = this->jobs.find(task.in.job.text);
    return job != this->jobs.end() && job->second.advice ? &*job->second.advice : nullptr;
  }
  // True if the task is a member of a gang.
  bool in_gang(const std::string& task) const {
    const step_spec* const shape = this->shape_of(task);
    return shape != nullptr && shape->gang;
  }

  // Records that a run of the task is on the runner now.
  void begin(instant at, const runner_entry& runner, const std::string& task, int run) {
    this->on_runner[runner.id].insert(task);
    this->check_place(at, runner, task);
    ++this->present[{step_of(task), run}];
    ++this->starts;
    if (this->observer != nullptr) {
      this->observer->run_began(task);
    }
    this->check_budget(at, task);
    if (this->done_acked.contains(task)) {
      this->fail(at, task + " starts after its end was acknowledged");
    }
    if (++this->running[task] > 1) {
      this->fail(at, task + " runs twice");
    }
    const std::string step = step_of(task);
    int& most = this->most_together[step];
    most = std::max(most, this->running_of(step));
    for (const auto& [prefix, limit] : this->limits) {
      if (task.starts_with(prefix) && this->running_of(prefix) > limit) {
        this->fail(at, "more than " + std::to_string(limit) + " tasks of " + prefix + " run");
      }
    }
  }
  // Records that an end of the task as done was acknowledged while it counted. `starts`: how often
  // the task had started when it ended so.
  void acknowledge_done(instant at, const std::string& task, int starts) {
    this->done_acked.insert(task);
    if (this->starts_of[task] > starts) {
      this->fail(at, task + " started again after an end that is acknowledged now");
    }
  }
  // Records that a run has left its runner.
  void end(const std::string& runner, const std::string& task, int run, bool done) {
    this->on_runner[runner].erase(task);
    --this->running[task];
    if (this->observer != nullptr) {
      this->observer->run_ended(task);
    }
    this->present[{step_of(task), run}] -= done ? 0 : 1;
    if (done) {
      this->done.insert(task);
    }
  }
  // The number of runs of tasks whose names begin so.
  int running_of(const std::string& prefix) const {
    int sum = 0;
    for (auto it = this->running.lower_bound(prefix);
         it != this->running.end() && it->first.starts_with(prefix); ++it) {
      sum += it->second;
    }
    return sum;
  }

  // Checks that the task may run on this runner, beside what is there.
  void check_place(instant at, const runner_entry& runner, const std::string& task) {
    const auto parsed = parse_task_ref(task);
    const step_spec* const shape = parsed ? this->shape_of(*parsed) : nullptr;
    if (shape == nullptr) {
      this->fail(at, task + " starts, which nobody submitted");
      return;
    }
    if (this->jobs.at(parsed->in.job.text).pool != runner.pool) {
      this->fail(at, task + " starts in the wrong pool, on " + runner.id);
    }
    const std::string& label = shape->required_label;
    if (!label.empty() &&
        std::find(runner.labels.begin(), runner.labels.end(), label) == runner.labels.end()) {
      this->fail(at, task + " starts without its label, on " + runner.id);
    }
    if (shape->anti_affinity > 0 &&
        this->of_step_on(runner.id, step_of(task)) > shape->anti_affinity) {
      this->fail(at, task + " starts beyond its anti-affinity, on " + runner.id);
    }
    if (!this->used_on(runner.id).fits(runner.capacity)) {
      this->fail(at, task + " starts beyond the capacity of " + runner.id);
    }
  }
  // The number of tasks of the step that are on the runner.
  std::int64_t of_step_on(const std::string& runner, const std::string& step) const {
    const std::set<std::string>& tasks = this->on_runner.at(runner);
    return std::count_if(tasks.begin(), tasks.end(),
                         [&step](const std::string& task) { return step_of(task) == step; });
  }
  // The capacity that all tasks on the runner take together.
  resources used_on(const std::string& runner) const {
    resources used;
    for (const std::string& task : this->on_runner.at(runner)) {
      const step_spec* const shape = this->shape_of(task);
      if (shape != nullptr) {
        used += {shape->best_effort ? millicores{0} : shape->need.cpu, shape->need.memory,
                 shape->need.accelerators};
      }
    }
    return used;
  }

  void fail(instant at, const std::string& what) {
    this->broken.push_back(std::to_string(at.value) + ": " + what);
  }
};

}  // namespace monsoonmux::cell
