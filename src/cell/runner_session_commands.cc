// The start and stop commands of a session, their answers and repeats.

#include <algorithm>
#include <vector>

#include "cell/runner_session.h"

namespace monsoonmux::cell {

void runner_session::start(const run_key& run, std::string payload, const start_ticket& ticket,
                           std::string checkpoint, bool lasts) {
  if (this->runs.empty()) {
    this->busy_since = this->time.now();
  }
  tracked_run& tracked = this->runs[run];
  tracked.lasts = lasts;
  tracked.command.task = run.task.text();
  tracked.command.run = run.run;
  tracked.command.payload = std::move(payload);
  tracked.command.ticket = ticket.text;
  tracked.ticket_refused_after = ticket.refused_after;
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
  // The leader has checked that when it sent the start. A repeat may come much later.
  if (!this->leader.has_room(this->id)) {
    this->start_refused(run, tracked, "runner_shrank");
    return;
  }
  tracked.next_try = never;
  const instant now = this->time.now();
  const std::optional<millis> lease = this->next_start_lease(now);
  tracked.awaits_proof = lease && !this->is_proven(now);
  if (tracked.awaits_proof) {
    this->prove();
    return;
  }
  tracked.awaits_answers = !lease && this->has_lasting_runs() && this->leases.has_open_grants();
  if (tracked.awaits_answers) {
    return;
  }
  ++tracked.attempts;
  if (!lease) {
    this->retry_start(run, tracked, "no_lease");
    return;
  }
  this->supersede_acknowledgement();
  tracked.renews = this->is_renewal(*lease);
  tracked.command.target = this->target();
  tracked.command.lease_until_ms = this->end_of_lease(*lease, now);
  this->note_granted(tracked.command.lease_until_ms);
  const instant executed_by =
      std::min(now + lease_expiry::longest_way, tracked.ticket_refused_after);
  // Without a ticket the next incarnation executes it too, whose clock began anew.
  const millis lease_if_late =
      tracked.command.ticket.empty() ? std::max(*lease, this->options.runner_max_lease) : *lease;
  const std::int64_t grant = this->leases.sent({now, *lease, lease_if_late, executed_by, true});
  const bool has_ticket = !tracked.command.ticket.empty();
  this->port.start(tracked.command, [this, run, now, grant, token = tracked.command.target.token,
                                     has_ticket, a = this->alive](const command_answer& answer) {
    if (*a) {
      this->settle_grant(grant, answer.status);
      if (answer.status == command_status::unknown && !has_ticket) {
        this->ends_kept_until = std::max(this->ends_kept_until, now + lease_expiry::longest_way);
      }
      this->start_answered(run, answer, token, now);
    }
    if (*a) {
      this->send_after_answers();
    }
  });
}

void runner_session::send_after_answers() {
  std::vector<run_key> waiting;
  for (const auto& [run, tracked] : this->runs) {
    if (tracked.awaits_answers && !tracked.stopping) {
      waiting.push_back(run);
    }
  }
  for (const run_key& run : waiting) {
    const auto it = this->runs.find(run);
    if (it != this->runs.end() && !it->second.stopping) {
      it->second.awaits_answers = false;
      this->send_start(run);
    }
  }
}

void runner_session::start_answered(const run_key& run, const command_answer& answer,
                                    fencing_token token, instant sent) {
  const bool same_incarnation = this->update_clock(answer, token, sent);
  const auto it = this->runs.find(run);
  if (it == this->runs.end()) {
    return;
  }
  tracked_run& tracked = it->second;
  // A report has listed the run meanwhile, so an earlier start was executed.
  const bool is_listed = tracked.answered_at != instant{0} && !tracked.stopping;
  switch (answer.status) {
    case command_status::done:
    case command_status::stale_run:
      tracked.answered_at = this->time.now();
      tracked.confirmed = tracked.confirmed || same_incarnation;
      if (tracked.renews) {
        this->last_renewal = std::max(this->last_renewal, sent);
      }
      if (this->acknowledgement_due() && this->may_acknowledge(this->time.now())) {
        this->next_poll = this->time.now();
      }
      this->poll();
      return;
    case command_status::fenced:
      if (!this->is_superseded(token)) {
        this->leader.token_refused(this->id);
        return;
      }
      this->log_superseded("start", run);
      break;
    case command_status::unknown:
      ++tracked.unanswered_starts;
      this->prove();  // Under the next token, so that the runner refuses what comes late.
      break;
    case command_status::not_sent:
      break;
    case command_status::no_ticket:
      this->leader.ticket_refused(this->id, run);
      [[fallthrough]];
    default:
      if (!is_listed) {
        this->start_refused(run, tracked, to_string(answer.status));
      }
      return;
  }
  if (!tracked.stopping && !is_listed) {
    this->retry_start(run, tracked, to_string(answer.status));
  }
}

// Our own later token has refused the command, so it would have reached another incarnation.
void runner_session::log_superseded(std::string_view command, const run_key& run) {
  this->events.write("command_superseded", {{"runner", this->id},
                                            {"command", command},
                                            {"task", run.task.text()},
                                            {"run", run.run},
                                            {"incarnation", this->incarnation}});
}

void runner_session::retry_start(const run_key& run, tracked_run& tracked, std::string_view why) {
  if (tracked.attempts < this->options.max_start_attempts) {
    this->try_again_at(tracked, this->time.now() + this->options.retry);
    return;
  }
  this->start_refused(run, tracked, why);
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
    this->try_again_at(tracked, this->time.now() + this->options.retry);
    return;
  }
  tracked.stop_in_flight = true;
  tracked.next_try = never;
  const stop_command command{this->target(), run.task.text(), run.run};
  const instant sent = this->time.now();
  this->port.stop(command, [this, run, sent, token = command.target.token,
                            a = this->alive](const command_answer& answer) {
    if (!*a) {
      return;
    }
    this->update_clock(answer, token, sent);
    const auto it = this->runs.find(run);
    if (it == this->runs.end()) {
      return;
    }
    it->second.stop_in_flight = false;
    const bool executed =
        answer.status == command_status::done || answer.status == command_status::stale_run;
    if (executed && !this->is_superseded(token)) {
      it->second.stop_answered = true;
      it->second.answered_at = this->time.now();
      this->poll();
      return;
    }
    if (answer.status == command_status::fenced && !this->is_superseded(token)) {
      this->leader.token_refused(this->id);
      return;
    }
    if (answer.status == command_status::fenced) {
      this->log_superseded("stop", run);
    }
    this->try_again_at(it->second, this->time.now() + this->options.retry);
  });
}

}  // namespace monsoonmux::cell
