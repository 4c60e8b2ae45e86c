#include "cell/runner_session.h"

#include <algorithm>
#include <vector>

#include "cell/clock_drift.h"

namespace monsoonmux::cell {
namespace {

// Allows for a command that the runner was executing when the end of its lease passed.
constexpr millis expiry_margin{300};
// Assumption: a runner that restarts needs at least this long from its last answer until a
// run has ended there. The ends of a restarted runner are numbered from the beginning, so it
// must not receive an acknowledgement meant for its previous incarnation later than that. A
// poll that acknowledges does not wait for ends, since it might wait at the next incarnation.
constexpr millis shortest_restart_and_run{600};
// A lease is renewed at the latest this long after the last poll.
constexpr millis renew_after{1'500};

millis expiry_time(millis lease) {
  return longest_real_time(lease) + expiry_margin;
}

}  // namespace

std::string_view to_string(command_status status) {
  switch (status) {
    case command_status::done:
      return "done";
    case command_status::fenced:
      return "fenced";
    case command_status::stale_run:
      return "old_run";
    case command_status::lease_expired:
      return "late";
    case command_status::no_capacity:
      return "no_room";
    case command_status::no_ticket:
      return "no_ticket";
    case command_status::refused:
      return "refused";
    case command_status::other_instance:
      return "other_instance";
    case command_status::not_sent:
      return "not_sent";
    case command_status::unknown:
      return "unknown";
  }
  return "unknown";
}

runner_session::runner_session(runner_port& commands, const clock& now, event_log& out,
                               session_events& callbacks, std::string name, epoch new_epoch,
                               instant inherited_until, const session_options& given)
    : port(commands),
      time(now),
      events(out),
      leader(callbacks),
      id(std::move(name)),
      token(new_epoch),
      options(given),
      leases_expire_at(inherited_until) {}

runner_session::~runner_session() {
  *this->alive = false;
}

command_target runner_session::target() const {
  return {this->entry.address, this->id, this->token};
}

void runner_session::update(const runner_entry& next) {
  const bool restarted =
      this->entry.incarnation != 0 && next.incarnation != this->entry.incarnation;
  this->entry = next;
  this->listed = true;
  if (this->incarnation == 0 || (restarted && next.incarnation != this->incarnation)) {
    this->runner_time.assume(next.clock_ms, this->time.now());
  }
  if (restarted && next.incarnation != this->incarnation) {
    this->admitted = false;
    this->announced = false;
    this->incarnation_uncertain = true;
  }
  this->poll();
}

void runner_session::recover(const run_key& run) {
  tracked_run& tracked = this->runs[run];
  tracked.recovered = true;
}

std::int64_t runner_session::lease_until() const {
  return this->runner_time.at_least(this->time.now()) + this->options.max_lease.value;
}

void runner_session::update_clock(const command_answer& answer, instant sent) {
  if (!answer.clock_ms) {
    return;
  }
  const clock_reading reading{*answer.clock_ms, sent, this->time.now()};
  const same_incarnation same = this->runner_time.compare(reading);
  if (same == same_incarnation::no && this->admitted) {
    this->incarnation_uncertain = true;
  }
  if (same != same_incarnation::yes) {
    this->extend_expiry(this->options.runner_max_lease);
  }
}

// The end of a lease that was reckoned by the clock of a previous incarnation is far in the
// future of the present one, which grants its own maximum from the execution on.
void runner_session::extend_expiry(millis lease) {
  this->leases_expire_at = std::max(this->leases_expire_at, this->time.now() + expiry_time(lease));
}

void runner_session::poll(bool acknowledge) {
  const bool poll_needed =
      !this->runs.empty() || !this->announced || this->last_end_seen > this->stored_up_to;
  if (this->poll_in_flight || !poll_needed || !this->reachable()) {
    return;
  }
  const instant now = this->time.now();
  const bool has_unstored_ends = this->last_end_seen > this->stored_up_to;
  const bool renewal_due = now - this->last_poll >= renew_after;
  if (now < this->next_poll ||
      (has_unstored_ends && this->admitted && !renewal_due && !acknowledge)) {
    return;
  }
  poll_request request;
  request.target = this->target();
  const bool may_acknowledge = this->acknowledgement_due() && !this->incarnation_uncertain &&
                               this->proof_age(now) <= shortest_restart_and_run;
  request.acked_up_to = may_acknowledge ? this->stored_up_to : 0;
  const bool may_wait = this->admitted && this->announced && !has_unstored_ends &&
                        !this->incarnation_uncertain && !this->acknowledgement_due();
  request.wait = may_wait && !this->runs.empty() ? this->options.poll_wait : millis{0};
  if (this->admitted && !this->incarnation_uncertain) {
    request.lease_until_ms = this->lease_until();
    this->extend_expiry(this->options.max_lease);
  }
  this->poll_in_flight = true;
  this->last_poll = now;
  this->port.poll(request, [this, request, now, a = this->alive](const poll_answer& answer) {
    if (*a) {
      this->poll_in_flight = false;
      this->poll_answered(answer, request, now);
    }
  });
}

void runner_session::poll_answered(const poll_answer& answer, const poll_request& request,
                                   instant sent) {
  if (answer.status == command_status::done) {
    this->failed_polls = 0;
    this->handle_report(answer.report, request, sent);
    const instant now = this->time.now();
    const bool due = this->acknowledgement_due();
    if (due && this->proof_age(now) > shortest_restart_and_run) {
      this->next_poll = now + this->options.retry;  // The answer took too long to arrive.
    }
    this->poll(due && request.acked_up_to == 0);
    return;
  }
  if (answer.status == command_status::fenced) {
    this->leader.token_refused(this->id);
    return;
  }
  this->incarnation_uncertain = true;
  if (++this->failed_polls == 1) {
    this->events.write("runner_silent",
                       {{"runner", this->id}, {"status", to_string(answer.status)}});
    this->announced = false;
    this->leader.runner_unresponsive(this->id);
  }
  if (answer.status == command_status::other_instance) {
    this->admitted = false;
  }
  this->next_poll = this->time.now() +
                    (this->failed_polls > 2 ? this->options.probe_interval : this->options.retry);
}

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
  this->admitted = true;
  this->incarnation_uncertain = false;
  this->process_ends(report);
  this->process_running(report);
  this->close_missing(report, sent);
  this->announce(report.incarnation);
}

// Called last, so that all that the report shows is counted before any work is placed there.
// The capacity and labels of an incarnation are known when its own entry has arrived.
void runner_session::announce(std::int64_t reported) {
  if (this->announced) {
    return;
  }
  if (reported != this->entry.incarnation) {
    this->next_poll = this->time.now() + this->options.retry;
    return;
  }
  this->announced = true;
  this->leader.runner_admitted(this->id);
}

// All runs of the previous incarnation are over, but a start command may already have
// reached the new one. The runs that the current report lists are kept, and
// close_missing() closes the others.
void runner_session::note_restart(const poll_report& report, const poll_request& request,
                                  instant sent) {
  this->events.write("runner_reborn", {{"runner", this->id},
                                       {"born", report.incarnation},
                                       {"previous", this->incarnation},
                                       {"acknowledged", request.acked_up_to},
                                       {"poll_ms", (this->time.now() - sent).value}});
  this->last_end_seen = 0;
  this->stored_up_to = 0;
  this->acknowledged_up_to = 0;
  this->unstored_ends.clear();
  this->announced = false;
  this->leader.runner_unresponsive(this->id);
  this->extend_expiry(this->options.runner_max_lease);
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
    this->leader.run_ended(this->id, run, end.how, end.checkpoint, end.number);
  }
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
    if (it->second.answered_at == instant{0}) {
      it->second.answered_at = this->time.now();
    }
    if (!running.checkpoint.empty()) {
      this->leader.checkpoint_reported(this->id, run, running.checkpoint);
    }
  }
}

bool runner_session::lists(const poll_report& report, const run_key& run) {
  const std::string name = run.task.text();
  return std::any_of(report.running.begin(), report.running.end(),
                     [&name, &run](const running_run& running) {
                       return running.run == run.run && running.task == name;
                     });
}

void runner_session::close_missing(const poll_report& report, instant sent) {
  std::vector<run_key> missing;
  for (const auto& [run, tracked] : this->runs) {
    const bool answered_before = tracked.answered_at != instant{0} && tracked.answered_at < sent;
    if (!tracked.recovered && !answered_before) {
      continue;
    }
    if (!lists(report, run)) {
      missing.push_back(run);
    }
  }
  // A report lists at most 500 ends. A run whose end may follow in the next report is not
  // missing.
  constexpr std::size_t ends_per_report = 500;
  if (report.finished.size() >= ends_per_report) {
    return;
  }
  for (const run_key& run : missing) {
    this->log_closed(run, this->runs.at(run), "not_there");
    this->runs.erase(run);
    this->leader.run_lost(this->id, run, "not_there");
  }
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
                                    {"lease_over_ms", (now - this->leases_expire_at).value},
                                    {"acknowledged", this->acknowledged_up_to}});
}

void runner_session::start(const run_key& run, std::string payload, std::string ticket,
                           std::string checkpoint) {
  tracked_run& tracked = this->runs[run];
  tracked.command.task = run.task.text();
  tracked.command.run = run.run;
  tracked.command.payload = std::move(payload);
  tracked.command.ticket = std::move(ticket);
  tracked.command.checkpoint = std::move(checkpoint);
  tracked.placed_on = this->incarnation;
  this->send_start(run);
}

void runner_session::send_start(const run_key& run) {
  tracked_run& tracked = this->runs.at(run);
  if (!this->is_present(tracked.placed_on)) {
    this->start_refused(run, tracked, "runner_restarted");
    return;
  }
  ++tracked.attempts;
  tracked.next_try = never;
  tracked.command.target = this->target();
  tracked.command.lease_until_ms = this->lease_until();
  const instant now = this->time.now();
  this->extend_expiry(this->options.max_lease);
  this->port.start(tracked.command,
                   [this, run, now, a = this->alive](const command_answer& answer) {
                     if (*a) {
                       this->start_answered(run, answer, now);
                     }
                   });
}

void runner_session::start_answered(const run_key& run, const command_answer& answer,
                                    instant sent) {
  this->update_clock(answer, sent);
  const auto it = this->runs.find(run);
  if (it == this->runs.end()) {
    return;
  }
  tracked_run& tracked = it->second;
  switch (answer.status) {
    case command_status::done:
    case command_status::stale_run:
      tracked.answered_at = this->time.now();
      this->poll();
      return;
    case command_status::fenced:
      this->leader.token_refused(this->id);
      return;
    case command_status::unknown:
      ++tracked.unanswered_starts;
      break;
    case command_status::not_sent:
      break;
    case command_status::no_ticket:
      this->leader.ticket_refused(this->id, run);
      this->start_refused(run, tracked, to_string(answer.status));
      return;
    default:
      this->start_refused(run, tracked, to_string(answer.status));
      return;
  }
  if (tracked.stopping) {
    return;
  }
  if (tracked.attempts < this->options.max_start_attempts) {
    tracked.next_try = this->time.now() + this->options.retry;
    return;
  }
  this->start_refused(run, tracked, to_string(answer.status));
}

// The last start command was not executed. If an earlier one got no answer, it may still
// be executed, so a stop has to close the run first.
void runner_session::start_refused(const run_key& run, tracked_run& tracked, std::string_view why) {
  if (tracked.unanswered_starts > 0) {
    tracked.stopping = true;
    this->send_stop(run);
    return;
  }
  this->runs.erase(run);
  this->leader.run_lost(this->id, run, why);
}

void runner_session::stop(const run_key& run) {
  const auto it = this->runs.find(run);
  if (it == this->runs.end() || it->second.stopping) {
    return;
  }
  it->second.stopping = true;
  this->send_stop(run);
}

void runner_session::send_stop(const run_key& run) {
  tracked_run& tracked = this->runs.at(run);
  if (tracked.stop_in_flight || !this->reachable()) {
    tracked.next_try = this->time.now() + this->options.retry;
    return;
  }
  tracked.stop_in_flight = true;
  tracked.next_try = never;
  const stop_command command{this->target(), run.task.text(), run.run};
  const instant sent = this->time.now();
  this->port.stop(command, [this, run, sent, a = this->alive](const command_answer& answer) {
    if (!*a) {
      return;
    }
    this->update_clock(answer, sent);
    const auto it = this->runs.find(run);
    if (it == this->runs.end()) {
      return;
    }
    it->second.stop_in_flight = false;
    if (answer.status == command_status::done || answer.status == command_status::stale_run) {
      it->second.stop_answered = true;
      it->second.answered_at = this->time.now();
      this->poll();
      return;
    }
    if (answer.status == command_status::fenced) {
      this->leader.token_refused(this->id);
      return;
    }
    it->second.next_try = this->time.now() + this->options.retry;
  });
}

void runner_session::end_stored(std::int64_t number) {
  if (this->unstored_ends.erase(number) == 0) {
    return;  // Reported by a previous incarnation.
  }
  this->stored_up_to =
      this->unstored_ends.empty() ? this->last_end_seen : *this->unstored_ends.begin() - 1;
  this->poll();
}

void runner_session::tick() {
  const instant now = this->time.now();
  std::vector<run_key> due;
  for (const auto& [run, tracked] : this->runs) {
    if (tracked.next_try <= now && (tracked.stopping || tracked.attempts > 0)) {
      due.push_back(run);
    }
  }
  for (const run_key& run : due) {
    tracked_run& tracked = this->runs.at(run);
    if (tracked.stopping && !tracked.stop_answered) {
      this->send_stop(run);
    } else if (!tracked.stopping && tracked.answered_at == instant{0}) {
      this->send_start(run);
    }
  }
  this->poll();
  if (this->failed_polls > 0 || !this->reachable() || !this->admitted) {
    this->close_expired();
  }
}

void runner_session::close_expired() {
  if (this->time.now() < this->leases_expire_at || this->runs.empty()) {
    return;
  }
  this->admitted = false;
  std::vector<run_key> expired;
  for (const auto& [run, tracked] : this->runs) {
    this->log_closed(run, tracked, "lease_lapsed");
    expired.push_back(run);
  }
  this->runs.clear();
  for (const run_key& run : expired) {
    this->leader.run_lost(this->id, run, "lease_lapsed");
  }
}

}  // namespace monsoonmux::cell
