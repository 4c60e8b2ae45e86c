// How a job counts the runners that crash under its tasks. A run of a gang counts once, however
// many runners crash under its members.

#include <algorithm>

#include "decide/live_job.h"

namespace monsoonmux::cell {
namespace {

std::vector<live_task::crashed_run>::iterator find_crashed(live_task& task, std::int32_t run) {
  return std::find_if(task.crashed_runs.begin(), task.crashed_runs.end(),
                      [run](const live_task::crashed_run& each) { return each.run == run; });
}

// The latest run of the step that counts as a crash; 0: none does.
std::int32_t latest_crashed(const live_step& step) {
  std::int32_t latest = 0;
  for (const live_task& task : step.tasks) {
    for (const live_task::crashed_run& each : task.crashed_runs) {
      latest = std::max(latest, each.run);
    }
  }
  return latest;
}

}  // namespace

isolation isolation_of(const live_task& task) {
  return task.acquitted ? isolation::none : isolation_after(task.crashes);
}

// Counts once for a run of a gang, however many runners crashed under its members.
void live_job::count_crash(live_step& step, const step_spec& shape, live_task& task,
                           std::int32_t run) {
  const auto count = [run](live_task& counted) {
    const auto same = find_crashed(counted, run);
    if (same != counted.crashed_runs.end()) {
      ++same->runners;
      return;
    }
    ++counted.crashes;
    counted.crashed_runs.push_back({run});
  };
  if (!shape.gang) {
    count(task);
    return;
  }
  std::for_each(step.tasks.begin(), step.tasks.end(), count);
}

std::vector<counted_gang_crash> live_job::counted_gang_crashes() const {
  std::vector<counted_gang_crash> out;
  for (const auto& [number, occurrence] : this->open_occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const std::int32_t latest = latest_crashed(occurrence.steps[s]);
      if (this->spec().steps[s].gang && latest > 0) {
        out.push_back({number, static_cast<std::int32_t>(s), latest});
      }
    }
  }
  return out;
}

void live_job::restore_gang_crashes(const std::vector<counted_gang_crash>& counted) {
  for (const counted_gang_crash& each : counted) {
    const auto it = this->open_occurrences.find(each.occurrence);
    const auto step = static_cast<std::size_t>(each.step);
    if (it == this->open_occurrences.end() || step >= it->second.steps.size()) {
      continue;  // There is no such gang. Such a record is never written.
    }
    for (live_task& member : it->second.steps[step].tasks) {
      member.crashed_runs.push_back({each.run});
    }
  }
}

void live_job::apply_crash_bound(const live_task& task, bool was_alone, end_effect& effect) {
  if (!ends_by_crashes(task.crashes, was_alone) || is_final(this->state)) {
    return;
  }
  this->state = job_phase::failed;
  effect.job_final = true;
  effect.given_up = true;
}

end_effect live_job::crashed_after_all(const task_ref& task, std::int32_t run, bool was_alone) {
  end_effect effect;
  live_task* const t = this->find(task);
  if (t == nullptr || t->phase == task_phase::done || run > t->run) {
    return effect;
  }
  const step_spec& shape = this->spec().steps[static_cast<std::size_t>(task.in.step)];
  if (!shape.gang && find_crashed(*t, run) != t->crashed_runs.end()) {
    return effect;
  }
  effect.counted = true;
  live_step& step =
      this->open_occurrences.at(task.in.occurrence).steps[static_cast<std::size_t>(task.in.step)];
  count_crash(step, shape, *t, run);
  this->apply_crash_bound(*t, was_alone, effect);
  return effect;
}

bool live_job::disprove_crash(const task_ref& task, std::int32_t run) {
  live_task* const t = this->find(task);
  if (t == nullptr || find_crashed(*t, run) == t->crashed_runs.end()) {
    return false;
  }
  const auto uncount = [run](live_task& counted) {
    const auto same = find_crashed(counted, run);
    if (same == counted.crashed_runs.end() || --same->runners > 0) {
      return;
    }
    counted.crashed_runs.erase(same);
    --counted.crashes;
  };
  const std::int32_t before = t->crashes;
  if (this->spec().steps[static_cast<std::size_t>(task.in.step)].gang) {
    live_step& step =
        this->open_occurrences.at(task.in.occurrence).steps[static_cast<std::size_t>(task.in.step)];
    std::for_each(step.tasks.begin(), step.tasks.end(), uncount);
  } else {
    uncount(*t);
  }
  return t->crashes < before;
}

void live_job::acquit(const task_ref& task) {
  live_task& t = *this->find(task);
  t.acquitted = true;
  t.alone = false;
  if (this->spec().steps[static_cast<std::size_t>(task.in.step)].long_running) {
    t.crashes = 0;
    t.crashed_runs.clear();
  }
}

}  // namespace monsoonmux::cell
