#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace monsoonmux::cell {

// The history of runs on all runners, and the violations of the scheduler's guarantees.
struct run_history {
  std::vector<std::string> broken;
  std::map<std::string, int> running;  // Number of runs by task, on runners that are up.
  std::set<std::string> done;          // Tasks that ended done.
  std::set<std::string> done_acked;    // Tasks of which such an end was acknowledged.
  std::int64_t starts = 0;
  // The most runs that may be on runners at once, by the first characters of their job's id:
  // the limit of a team whose jobs are named so.
  std::map<std::string, int> limits;
  std::map<std::string, int> most_together;  // Tasks of one step that ran at once, by step.
  // Size of the gangs of which the jobs' ids begin so.
  std::map<std::string, int> gangs;
  // Members of a gang that run or are done under one run number, by step and run number.
  std::map<std::pair<std::string, int>, int> present;

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

  // Records that a run of the task is on a runner now.
  void begin(instant at, const std::string& task, int run) {
    ++this->present[{step_of(task), run}];
    ++this->starts;
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
  // Records that a run has left its runner.
  void end(const std::string& task, int run, bool done) {
    --this->running[task];
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

  void fail(instant at, const std::string& what) {
    this->broken.push_back(std::to_string(at.value) + ": " + what);
  }
};

}  // namespace monsoonmux::cell
