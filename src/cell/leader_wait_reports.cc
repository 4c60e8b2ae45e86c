// Why work waits: each second why the most urgent steps found no runner and how long lasting tasks
// have been without a run; at once which runners are in quarantine, and when a lasting task is
// placed again.

#include <algorithm>
#include <utility>
#include <vector>

#include "cell/leader.h"

namespace monsoonmux::cell {

void leader::report_waiting(const plan& decided,
                            const std::map<std::string, std::int64_t>& without_daemon) {
  const instant now = this->services.time.now();
  if (now - this->waiting_reported < this->options.load_report_interval) {
    return;
  }
  this->waiting_reported = now;
  this->report_queries(decided, without_daemon);
  this->report_interrupted();
  for (const waiting_reason& why : decided.reasons) {
    const bool interrupted = why.interrupted_since != never;
    const millis since_end = interrupted ? now - why.interrupted_since : millis{0};
    this->services.events.write("step_waits", {{"step", why.step.text()},
                                               {"tasks", why.tasks},
                                               {"given_up", why.given_up},
                                               {"interrupted_ms", since_end.value},
                                               {"takes_no_work", why.takes_no_work},
                                               {"claimed", why.claimed},
                                               {"no_room", why.no_room},
                                               {"not_permitted", why.not_permitted},
                                               {"not_asked", why.not_asked},
                                               {"not_good", why.not_good},
                                               {"no_ticket", why.no_ticket},
                                               {"queries", why.queries},
                                               {"query_wait_ms", why.query_wait.value},
                                               {"query", to_string(why.query)}});
  }
}

void leader::report_queries(const plan& decided,
                            const std::map<std::string, std::int64_t>& without_daemon) {
  for (const auto& [pool, tally] : decided.queries_by_pool) {
    nlohmann::ordered_json fields{{"service", pool}};
    for (std::size_t i = 0; i < tally.size(); ++i) {
      fields[std::string(to_string(static_cast<query_state>(i)))] = tally[i];
    }
    const auto none = without_daemon.find(pool);
    fields["no_daemon"] = none == without_daemon.end() ? 0 : none->second;
    this->services.events.write("advice_waits", fields);
  }
}

void leader::report_interrupted() {
  const instant now = this->services.time.now();
  std::int64_t held = 0;
  std::int64_t untracked = 0;
  std::vector<std::pair<instant, task_ref>> waiting;
  for (const auto& [id, job] : this->state.jobs) {
    for (const task_ref& ref : job.interrupted_tasks()) {
      const live_task& task = *job.find(ref);
      waiting.emplace_back(task.waits_since, ref);
      held += task.held ? 1 : 0;
      untracked += this->state.runners.has_untracked_run(ref) ? 1 : 0;
    }
  }
  if (waiting.empty()) {
    return;
  }
  const auto& [since, longest] = *std::min_element(waiting.begin(), waiting.end());
  this->services.events.write("lasting_tasks_wait", {{"tasks", waiting.size()},
                                                     {"longest", longest.text()},
                                                     {"longest_ms", (now - since).value},
                                                     {"held", held},
                                                     {"with_untracked_run", untracked}});
}

void leader::report_placed_again(const placement& start) {
  const live_job& job = this->state.jobs.at(start.task.in.job);
  const auto step = static_cast<std::size_t>(start.task.in.step);
  const live_task* const task = job.find(start.task);
  if (task == nullptr || task->waits_since == never || !job.spec().steps[step].long_running) {
    return;
  }
  const millis waited = this->services.time.now() - task->waits_since;
  this->services.events.write("lasting_task_placed_again", {{"task", start.task.text()},
                                                            {"run", start.run},
                                                            {"runner", start.runner},
                                                            {"waited_ms", waited.value}});
  this->services.metrics.observe("lasting_task_wait", waited);
}

void leader::report_quarantines() {
  for (const quarantine_change& change : this->state.runners.take_quarantine_changes()) {
    const std::string why(to_string(change.why));
    if (change.begins) {
      this->services.events.write("runner_quarantined", {{"runner", change.runner},
                                                         {"why", why},
                                                         {"overdue", change.overdue},
                                                         {"others", change.others}});
      this->services.metrics.count("runners_quarantined_" + why);
      continue;
    }
    this->services.events.write(
        "runner_quarantine_ended",
        {{"runner", change.runner}, {"why", why}, {"lasted_ms", change.lasted.value}});
  }
}

}  // namespace monsoonmux::cell
