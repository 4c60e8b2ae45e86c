#include "decide/crash_suspects.h"

#include <algorithm>
#include <iterator>

namespace monsoonmux::cell {

void crash_suspects::add(const std::string& runner, const suspected_run& run) {
  this->by_runner[runner].push_back(run);
}

std::int32_t crash_suspects::uncounted(const task_ref& task) const {
  std::int32_t out = 0;
  for (const auto& [runner, suspects] : this->by_runner) {
    for (const suspected_run& each : suspects) {
      out += !each.counted && each.run.task == task ? 1 : 0;
    }
  }
  return out;
}

bool crash_suspects::holds(const task_ref& task) const {
  return std::any_of(this->by_runner.begin(), this->by_runner.end(), [&task](const auto& entry) {
    return std::any_of(
        entry.second.begin(), entry.second.end(),
        [&task](const suspected_run& each) { return each.held && each.run.task == task; });
  });
}

std::vector<suspected_run> crash_suspects::take(
    const std::string& runner, const std::function<bool(const suspected_run&)>& chosen) {
  std::vector<suspected_run> out;
  const auto it = this->by_runner.find(runner);
  if (it == this->by_runner.end()) {
    return out;
  }
  std::copy_if(it->second.begin(), it->second.end(), std::back_inserter(out), chosen);
  std::erase_if(it->second, chosen);
  if (it->second.empty()) {
    this->by_runner.erase(it);
  }
  return out;
}

std::vector<suspected_run> crash_suspects::take_confirmed(const std::string& runner,
                                                          std::int64_t incarnation) {
  return this->take(runner, [incarnation](const suspected_run& each) {
    return each.incarnation != 0 && incarnation != 0 && each.incarnation != incarnation;
  });
}

std::vector<suspected_run> crash_suspects::take_disproved(const std::string& runner,
                                                          std::int64_t incarnation) {
  return this->take(
      runner, [incarnation](const suspected_run& each) { return each.incarnation == incarnation; });
}

std::vector<runner_suspect> crash_suspects::absent(
    const std::function<runner_absence(const std::string&)>& absence_of) const {
  std::vector<runner_suspect> out;
  for (const auto& [runner, suspects] : this->by_runner) {
    const runner_absence absence = absence_of(runner);
    if (!this->absence_counts(absence, false)) {
      continue;
    }
    for (const suspected_run& each : suspects) {
      if (!each.counted) {
        out.push_back({runner, each, absence});
      }
    }
  }
  return out;
}

bool crash_suspects::count(const runner_suspect& absent, bool ends_job) {
  const auto it = this->by_runner.find(absent.runner);
  if (it == this->by_runner.end() || !this->absence_counts(absent.absence, ends_job)) {
    return false;
  }
  const auto run =
      std::find_if(it->second.begin(), it->second.end(),
                   [&absent](const suspected_run& each) { return each.run == absent.suspect.run; });
  if (run == it->second.end() || run->counted) {
    return false;
  }
  run->counted = true;
  run->held = false;
  return true;
}

void crash_suspects::drop(const std::string& runner, const run_key& run) {
  this->take(runner, [&run](const suspected_run& each) { return each.run == run; });
}

std::vector<suspected_run> crash_suspects::release(
    instant now, const std::function<millis(const std::string&)>& list_followed) {
  std::vector<suspected_run> out;
  for (auto& [runner, suspects] : this->by_runner) {
    for (suspected_run& each : suspects) {
      if (!each.held) {
        continue;
      }
      const millis age = now - each.lost_at;
      const bool over = std::min(age, list_followed(runner)) >= this->options.longest_hold ||
                        age >= this->options.longest_hold_without_list;
      if (over) {
        each.held = false;
        out.push_back(each);
      }
    }
    std::erase_if(suspects, [&](const suspected_run& each) {
      return !each.held && now - each.lost_at >= this->options.longest_suspicion;
    });
  }
  std::erase_if(this->by_runner, [](const auto& entry) { return entry.second.empty(); });
  return out;
}

}  // namespace monsoonmux::cell
