#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "cell/testing/run_observer.h"

namespace monsoonmux::cell {

// Checks that a task that lasts is never without a run for too long: from `restart_time` after
// its last run's end it may have nothing running for `tolerance`, while there is room for it, if
// that time and `calm_before` ahead of it are calm. Calm begins `settle_time` after the last
// disruption.
class lasting_task_check final : public run_observer {
 public:
  static constexpr millis restart_time{6'000};
  static constexpr millis tolerance{3'000};
  static constexpr millis calm_before{4'000};
  static constexpr millis settle_time{3'000};

  // `has_room`: whether the task could be started somewhere now.
  lasting_task_check(const clock& time, std::function<bool(const std::string& task)> has_room)
      : time(time), has_room(std::move(has_room)), last_disruption(time.now()) {}

  // The task's job was accepted.
  void accepted(const std::string& task) {
    this->tasks.try_emplace(task).first->second.idle_since = this->time.now();
  }
  // The job of the tasks whose names begin so is being cancelled.
  void cancelled(const std::string& job) {
    std::erase_if(this->tasks,
                  [&job](const auto& entry) { return entry.first.starts_with(job + "."); });
  }

  // A disruption that lasts is one that begins and ends.
  void disruption_begins() {
    ++this->active_disruptions;
    this->disrupted();
  }
  void disruption_ends() {
    --this->active_disruptions;
    this->disrupted();
  }
  // A disruption of a moment.
  void disrupted() { this->last_disruption = this->time.now(); }

  void run_began(const std::string& task) override {
    if (const auto it = this->tasks.find(task); it != this->tasks.end()) {
      ++it->second.runs;
      it->second.reported = false;
    }
  }
  void run_ended(const std::string& task) override {
    const auto it = this->tasks.find(task);
    if (it != this->tasks.end() && --it->second.runs == 0) {
      it->second.idle_since = this->time.now();
      it->second.room_since.reset();
    }
  }

  // To be called often.
  void check() {
    for (auto& [task, state] : this->tasks) {
      if (state.runs > 0 || !this->has_room(task)) {
        state.room_since.reset();
        continue;
      }
      if (!state.room_since) {
        state.room_since = this->time.now();
      }
      if (!state.reported && this->is_overdue(state)) {
        state.reported = true;
        this->report(task, state);
      }
    }
  }

  const std::vector<std::string>& broken() const { return this->violations; }
  bool waits(const std::string& task) const {
    const auto it = this->tasks.find(task);
    return it != this->tasks.end() && it->second.runs == 0;
  }

 private:
  struct task_state {
    int runs = 0;
    instant idle_since;
    std::optional<instant> room_since;
    bool reported = false;  // Since its last run.
  };

  bool is_overdue(const task_state& state) const {
    if (this->active_disruptions > 0) {
      return false;
    }
    const instant calm_since = this->last_disruption + settle_time;
    const instant counts_from =
        std::max({state.idle_since + restart_time, calm_since + calm_before, *state.room_since});
    return this->time.now() - counts_from >= tolerance;
  }
  void report(const std::string& task, const task_state& state) {
    const instant now = this->time.now();
    this->violations.push_back(std::to_string(now.value) + ": " + task + " has no run for " +
                               std::to_string((now - state.idle_since).value) +
                               " ms, the last disruption was " +
                               std::to_string((now - this->last_disruption).value) + " ms ago");
  }

  const clock& time;
  const std::function<bool(const std::string& task)> has_room;
  std::map<std::string, task_state> tasks;
  int active_disruptions = 0;
  instant last_disruption;
  std::vector<std::string> violations;
};

}  // namespace monsoonmux::cell
