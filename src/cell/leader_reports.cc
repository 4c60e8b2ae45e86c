// The load reports of a leader, one a second: the use of the cell's capacity. Also what its runners
// report that should not be: two runs of a task, and more tasks of a step than its AntiAffinity
// allows.

#include <algorithm>
#include <set>

#include "cell/leader.h"

namespace monsoonmux::cell {
namespace {

// A run that counts on a runner.
struct counted_run {
  std::string runner;
  allocation run;
};

// The runs of the task that count anywhere. Those that are not untracked come first.
std::vector<counted_run> runs_of(runner_table& runners, const task_ref& task) {
  std::vector<counted_run> out;
  for (const auto& [id, runner] : runners.all()) {
    for (auto it = runner.allocations.lower_bound({task, 0});
         it != runner.allocations.end() && it->first.task == task; ++it) {
      out.push_back({id, it->second});
    }
  }
  std::stable_partition(out.begin(), out.end(),
                        [](const counted_run& each) { return !each.run.untracked; });
  return out;
}

// The number of tasks of the step that count on the runner.
std::size_t tasks_on(const runner_state& runner, const step_ref& step) {
  std::set<task_ref> tasks;
  for (auto it = runner.allocations.lower_bound({{step, 0}, 0});
       it != runner.allocations.end() && it->first.task.in == step; ++it) {
    tasks.insert(it->first.task);
  }
  return tasks.size();
}

}  // namespace

std::string leader::closed_as(const std::string& runner, const run_key& run) const {
  const auto earlier = this->closed.find(runner, run);
  return earlier ? earlier->why : "never_tracked";
}

// One event for each untracked run, however many others there are.
void leader::report_two_runs(const std::string& runner, const run_key& run) {
  const std::vector<counted_run> runs = runs_of(this->state.runners, run.task);
  const auto other = std::find_if(runs.begin(), runs.end(), [&](const counted_run& each) {
    return each.runner != runner || each.run.run != run.run;
  });
  if (other == runs.end()) {
    return;
  }
  const millis counted_for = this->services.time.now() - other->run.since;
  this->services.events.write("task_has_two_runs", {{"runner", runner},
                                                    {"task", run.task.text()},
                                                    {"run", run.run},
                                                    {"closed_as", this->closed_as(runner, run)},
                                                    {"other_runner", other->runner},
                                                    {"other_run", other->run.run},
                                                    {"other_untracked", other->run.untracked},
                                                    {"other_ms", counted_for.value},
                                                    {"epoch", this->own_epoch.value}});
  this->services.metrics.count("tasks_with_two_runs");
}

void leader::report_step_over_limit(const std::string& id, const run_key& run) {
  const auto job = this->state.jobs.find(run.task.in.job);
  const auto step = static_cast<std::size_t>(run.task.in.step);
  const runner_state* const runner = this->state.runners.find(id);
  if (runner == nullptr || job == this->state.jobs.end() ||
      step >= job->second.spec().steps.size()) {
    return;
  }
  const std::int32_t limit = job->second.spec().steps[step].anti_affinity;
  const std::size_t tasks = tasks_on(*runner, run.task.in);
  if (limit <= 0 || tasks <= static_cast<std::size_t>(limit)) {
    return;
  }
  this->services.events.write("step_over_limit", {{"runner", id},
                                                  {"step", run.task.in.text()},
                                                  {"tasks", tasks},
                                                  {"limit", limit},
                                                  {"task", run.task.text()},
                                                  {"run", run.run},
                                                  {"closed_as", this->closed_as(id, run)},
                                                  {"epoch", this->own_epoch.value}});
  this->services.metrics.count("steps_over_limit");
}

void leader::report_load() {
  const instant now = this->services.time.now();
  if (now - this->load_reported < this->options.load_report_interval) {
    return;
  }
  this->load_reported = now;
  std::map<std::string, std::pair<resources, resources>> by_service;
  std::int64_t available = 0;
  std::map<std::string, std::int64_t> refusing;
  for (const auto& [id, runner] : this->state.runners.all()) {
    auto& [used, capacity] = by_service[runner.entry.pool.text];
    used += runner.used;
    const work_refusal why = runner.refusal(now);
    if (why == work_refusal::none) {
      capacity += runner.entry.capacity;
      ++available;
    } else {
      ++refusing[std::string(to_string(why))];
    }
  }
  nlohmann::ordered_json services_load;
  for (const auto& [pool, load] : by_service) {
    const auto& [used, capacity] = load;
    services_load[pool] = {{"cpu_used", used.cpu.value},
                           {"cpu", capacity.cpu.value},
                           {"gpu_used", used.accelerators.value},
                           {"gpu", capacity.accelerators.value}};
  }
  nlohmann::ordered_json traffic;
  for (const auto& [name, total] : this->services.metrics.counts_of("bytes_")) {
    traffic[name] = total - std::exchange(this->bytes_reported[name], total);
  }
  this->services.events.write("cell_load",
                              {{"epoch", this->own_epoch.value},
                               {"open_jobs", this->state.jobs.size()},
                               {"waiting_tasks", this->waiting_tasks},
                               {"runners_taking_work", available},
                               {"runners_refusing_work", refusing},
                               {"wishes_without_daemon", this->undispatched_queries},
                               {"wishes_put_off", this->deferred_queries},
                               {"advising_daemons", this->state.advising_daemons},
                               {"advising_daemons_free", this->dispatcher.capacity().daemons},
                               {"longest_wish_ms", this->longest_query_wait.value},
                               {"plan_ms", this->plan_duration.value},
                               {"rounds", this->plan_rounds},
                               {"planning_ms", this->planning_time.value},
                               {"steps_planned", this->planning.steps},
                               {"steps_handled", this->planning.handled},
                               {"looked_at_to_place", this->planning.placing},
                               {"looked_at_to_reserve", this->planning.reserving},
                               {"looked_at_to_query", this->planning.querying},
                               {"ticks_ms", this->tick_time.value},
                               {"services", services_load},
                               {"traffic", traffic}});
  this->plan_rounds = 0;
  this->planning = {};
  this->planning_time = millis{0};
  this->tick_time = millis{0};
}

}  // namespace monsoonmux::cell
