// Which runs of lasting tasks are known to have lasted for so long that they are not the cause when
// their runners crash. It is part of the job's record, since a successor cannot tell when a run
// began.

#include <algorithm>

#include "decide/live_job.h"

namespace monsoonmux::cell {
namespace {

bool has_lasted(const live_task& task) {
  return task.phase == task_phase::placed && task.lasted;
}

void add_to(std::vector<lasted_runs>& out, const lasted_runs& next) {
  const bool follows = !out.empty() && out.back().occurrence == next.occurrence &&
                       out.back().step == next.step && out.back().run == next.run &&
                       out.back().first + out.back().count == next.first;
  if (follows) {
    ++out.back().count;
  } else {
    out.push_back(next);
  }
}

}  // namespace

bool live_job::note_lasted_runs(instant now, millis enough) {
  bool changed = false;
  for (auto& [number, occurrence] : this->open_occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      if (!this->spec().steps[s].long_running) {
        continue;
      }
      for (live_task& task : occurrence.steps[s].tasks) {
        const bool lasts = task.phase == task_phase::placed && now - task.placed_at > enough;
        changed = changed || (lasts && !task.lasted);
        task.lasted = task.lasted || lasts;
      }
    }
  }
  return changed;
}

std::vector<lasted_runs> live_job::all_lasted_runs() const {
  std::vector<lasted_runs> out;
  for (const auto& [number, occurrence] : this->open_occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const std::vector<live_task>& tasks = occurrence.steps[s].tasks;
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (has_lasted(tasks[i])) {
          add_to(out, {number, static_cast<std::int32_t>(s), static_cast<std::int32_t>(i), 1,
                       tasks[i].run});
        }
      }
    }
  }
  return out;
}

void live_job::restore_lasted_runs(const std::vector<lasted_runs>& lasted) {
  for (const lasted_runs& each : lasted) {
    const auto it = this->open_occurrences.find(each.occurrence);
    const auto step = static_cast<std::size_t>(each.step);
    if (it == this->open_occurrences.end() || step >= it->second.steps.size()) {
      continue;  // There is no such step. Such a record is never written.
    }
    std::vector<live_task>& tasks = it->second.steps[step].tasks;
    const auto end = std::min(
        static_cast<std::size_t>(each.first) + static_cast<std::size_t>(each.count), tasks.size());
    for (auto i = static_cast<std::size_t>(each.first); i < end; ++i) {
      tasks[i].lasted = tasks[i].phase == task_phase::placed && tasks[i].run == each.run;
    }
  }
}

}  // namespace monsoonmux::cell
