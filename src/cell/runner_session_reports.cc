// How a session handles a runner's report: restarts, ends, runs that are there and runs that
// are missing.

#include <algorithm>
#include <vector>

#include "cell/runner_session.h"

namespace monsoonmux::cell {

void runner_session::handle_report(const poll_report& report, const poll_request& request,
                                   instant sent) {
  const clock_reading reading{report.clock_ms, sent, this->time.now()};
  if (this->incarnation != 0 && report.incarnation != this->incarnation) {
    this->note_restart(report, request, sent);
    this->runner_time.begin(reading);
  } else {
    this->runner_time.confirm(reading);
    this->acknowledged_up_to = std::max(this->acknowledged_up_to, request.acked_up_to);
  }
  this->incarnation = report.incarnation;
  this->reported_clock_ms = std::max(this->reported_clock_ms, report.clock_ms);
  if (request.wait == millis{0}) {
    this->note_proof(sent);
  }
  constexpr std::size_t ends_per_report = 500;
  this->listed_all_it_can = report.finished.size() >= ends_per_report;
  this->process_ends(report);
  this->process_running(report);
  const bool fences = !this->is_superseded(request.target.token);
  if (fences) {
    this->note_fence();
  }
  const std::optional<millis> margin = this->lapse_margin();
  this->awaits_lapse = this->awaits_lapse && (!margin || *margin < millis{0});
  this->close_missing(report, sent, fences);
  if (!fences) {
    const bool fence_needed =
        !this->admitted || this->incarnation_uncertain || this->leases.awaits_fence();
    this->next_poll = fence_needed ? this->time.now() : this->next_poll;
    return;
  }
  this->admitted = true;
  this->incarnation_uncertain = false;
  this->announce(report.incarnation);
}

// Called last, so that all that the report shows is counted before any work is placed there.
// The capacity and labels of an incarnation are known when its own entry has arrived.
void runner_session::announce(std::int64_t reported) {
  if (this->announced) {
    return;
  }
  const bool grants = this->leader.leases_until(this->id) > this->time.now();
  if (!grants) {
    return;
  }
  if (this->awaits_lapse || reported != this->entry.incarnation) {
    this->next_poll = this->time.now() + this->options.retry;
    return;
  }
  this->announced = true;
  this->leader.runner_admitted(this->id);
}

// All runs of the previous incarnation are over, but commands that were sent to it may still reach
// the new one, until that has seen a higher token. Runs that its reports list are kept;
// close_missing() closes the others, those of which a start may still be executed by the first
// report under that token.
void runner_session::note_restart(const poll_report& report, const poll_request& request,
                                  instant sent) {
  this->events.write("runner_reborn", {{"runner", this->id},
                                       {"born", report.incarnation},
                                       {"previous", this->incarnation},
                                       {"acknowledged", request.acked_up_to},
                                       {"poll_ms", (this->time.now() - sent).value},
                                       {"starts_under_way", this->starts_without_answer()}});
  this->raise_token_for_restart();
  for (auto& [run, tracked] : this->runs) {
    tracked.confirmed = false;
    if (tracked.stopping) {
      tracked.stop_answered = false;
      this->try_again_at(tracked, this->time.now());
    }
  }
  this->last_end_seen = 0;
  this->stored_up_to = 0;
  this->acknowledged_up_to = 0;
  this->unstored_ends.clear();
  this->lapsed_runs.clear();
  this->granted_until_ms = 0;
  this->reported_clock_ms = 0;
  this->awaits_lapse = false;
  this->proven_until = instant{0};
  this->suspect_restart();
  this->leader.runner_unresponsive(this->id);
  this->leases.extend(this->options.runner_max_lease, this->time.now());
}

std::int64_t runner_session::starts_without_answer() const {
  return std::count_if(this->runs.begin(), this->runs.end(),
                       [](const auto& entry) { return entry.second.unanswered_starts > 0; });
}

void runner_session::process_ends(const poll_report& report) {
  for (const finished_run& end : report.finished) {
    if (end.number <= this->last_end_seen) {
      continue;
    }
    this->last_end_seen = end.number;
    this->unstored_ends.insert(end.number);
    const auto task = parse_task_ref(end.task);
    const run_key run{task.value_or(task_ref{}), end.run};
    this->runs.erase(run);
    if (this->lapsed_runs.erase(run) > 0 && end.how == run_outcome::done) {
      this->check_lapse(run);
    }
    this->leader.run_ended(this->id, run, end.how, end.checkpoint, end.number);
  }
}

void runner_session::check_lapse(const run_key& run) {
  const std::optional<millis> margin = this->lapse_margin();
  if (!margin || *margin >= millis{0} || this->awaits_lapse) {
    return;
  }
  this->awaits_lapse = true;
  this->announced = false;
  this->events.write("lease_not_lapsed", {{"runner", this->id},
                                          {"task", run.task.text()},
                                          {"run", run.run},
                                          {"margin_ms", margin->value}});
  this->leader.runner_unresponsive(this->id);
}

void runner_session::process_running(const poll_report& report) {
  for (const running_run& running : report.running) {
    const auto task = parse_task_ref(running.task);
    if (!task) {
      continue;
    }
    const run_key run{*task, running.run};
    const auto it = this->runs.find(run);
    if (it == this->runs.end()) {
      // This leader did not start or adopt the run, or has closed it already.
      tracked_run& tracked = this->runs[run];
      tracked.stopping = true;
      this->leader.untracked_run_found(this->id, run);
      this->send_stop(run);
      continue;
    }
    it->second.recovered = false;
    it->second.confirmed = true;
    if (it->second.answered_at == instant{0} || it->second.placed_on != report.incarnation) {
      it->second.answered_at = this->time.now();
      it->second.placed_on = report.incarnation;
    }
    if (it->second.progress.note(running.percent, this->runner_time.alive_at())) {
      this->leader.progress_changed(this->id, run, it->second.progress.gets_on());
    }
    if (!running.checkpoint.empty()) {
      this->leader.checkpoint_reported(this->id, run, running.checkpoint);
    }
  }
}

millis runner_session::known_to_run(const run_key& run) const {
  const auto it = this->runs.find(run);
  if (it == this->runs.end() || it->second.answered_at == instant{0} || it->second.stopping ||
      !this->admitted || this->incarnation_uncertain) {
    return millis{0};
  }
  return std::max(millis{0}, this->runner_time.alive_at() - it->second.answered_at);
}

bool runner_session::lists(const poll_report& report, const run_key& run) {
  const std::string name = run.task.text();
  return std::any_of(report.running.begin(), report.running.end(),
                     [&name, &run](const running_run& running) {
                       return running.run == run.run && running.task == name;
                     });
}

void runner_session::close_missing(const poll_report& report, instant sent, bool fences) {
  std::vector<run_key> missing;
  for (const auto& [run, tracked] : this->runs) {
    const bool answered_before = tracked.answered_at != instant{0} && tracked.answered_at < sent;
    const bool may_begin = !fences && tracked.unanswered_starts > 0;
    if (may_begin || (!tracked.recovered && !answered_before)) {
      continue;
    }
    if (!lists(report, run)) {
      missing.push_back(run);
    }
  }
  // A run whose end may follow in the next report is not missing.
  if (this->listed_all_it_can) {
    return;
  }
  for (const run_key& run : missing) {
    const tracked_run& tracked = this->runs.at(run);
    const std::string_view why = this->crashed_under(tracked) ? "runner_crashed" : "not_there";
    this->log_closed(run, tracked, why);
    this->runs.erase(run);
    this->leader.run_lost(this->id, run, why);
  }
}

bool runner_session::crashed_under(const tracked_run& tracked) const {
  const auto differs = [&tracked](std::int64_t other) {
    return other != 0 && other != tracked.placed_on;
  };
  return tracked.placed_on != 0 &&
         (differs(this->incarnation) || (this->listed && differs(this->entry.incarnation)));
}

// What the conclusion that a run is over without a listed end was based on.
void runner_session::log_closed(const run_key& run, const tracked_run& tracked,
                                std::string_view why) {
  const instant now = this->time.now();
  const std::int64_t since_answer =
      tracked.answered_at == instant{0} ? -1 : (now - tracked.answered_at).value;
  this->events.write("run_closed", {{"runner", this->id},
                                    {"task", run.task.text()},
                                    {"run", run.run},
                                    {"why", why},
                                    {"incarnation", this->incarnation},
                                    {"placed_on", tracked.placed_on},
                                    {"inherited", tracked.recovered},
                                    {"answered_ms", since_answer},
                                    {"unanswered_starts", tracked.unanswered_starts},
                                    {"proof_ms", this->proof_age(now).value},
                                    {"lease_over_ms", (now - this->leases.end()).value},
                                    {"lasts", tracked.lasts},
                                    {"late_leases", this->leases.late_grants()},
                                    {"late_ms", this->late_lease_span().value},
                                    {"acknowledged", this->acknowledged_up_to}});
}

}  // namespace monsoonmux::cell
