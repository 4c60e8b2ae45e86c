#include "cell/runner_session.h"

#include <algorithm>
#include <vector>

namespace monsoonmux::cell {
namespace {

// While ends are not in the log yet, a lease is renewed this long after the last renewal.
constexpr millis renew_after{1'500};
// A poll that does not wait renews the lease unless that was done within this time.
constexpr millis renew_early{500};
// A runner that has not answered for so long since the takeover counts as out of contact.
constexpr millis first_contact_time{500};

}  // namespace

runner_session::runner_session(runner_port& commands, const clock& now, event_log& out,
                               session_events& callbacks, std::string name, epoch leader_epoch,
                               const lease_limits& inherited, const session_options& given)
    : port(commands),
      time(now),
      events(out),
      leader(callbacks),
      id(std::move(name)),
      options(given),
      created(now.now()),
      tokens(leader_epoch),
      leases(inherited, given.runner_max_lease),
      last_renewal(now.now() - renew_early),
      busy_since(now.now()) {}

runner_session::~runner_session() {
  *this->alive = false;
}

command_target runner_session::target() const {
  return {this->entry.address, this->id, this->tokens.current()};
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
    this->suspect_restart();
    this->raise_token_for_restart();
  }
  this->poll();
}

void runner_session::raise_token_for_restart() {
  this->tokens.raise();
  this->first_of_incarnation = this->tokens.current();
}

// No reading of its clock is known. That needs none: nothing is granted before its first answer.
void runner_session::use_last_known_address(const runner_contact& contact) {
  if (this->reachable()) {
    return;
  }
  this->entry.id = this->id;
  this->entry.address = contact.address;
  this->entry.domain = contact.domain;
  this->entry.incarnation = contact.incarnation;
  this->poll();
}

void runner_session::recover(const run_key& run, std::int64_t placed_on, bool lasts) {
  tracked_run& tracked = this->runs[run];
  tracked.recovered = true;
  tracked.lasts = lasts;
  tracked.placed_on = placed_on;
}

bool runner_session::out_of_contact() const {
  if (this->runs.empty()) {
    return false;
  }
  const bool waits_for_first =
      !this->admitted && this->time.now() - this->created >= first_contact_time;
  return this->failed_polls > 0 || waits_for_first || this->leases.has_late_grants();
}

void runner_session::leases_allowed() {
  if (this->admitted && !this->incarnation_uncertain) {
    this->announce(this->incarnation);
    this->next_poll = std::min(this->next_poll, this->time.now());
    this->poll();
  }
}

bool runner_session::update_clock(const command_answer& answer, fencing_token token, instant sent) {
  if (!answer.clock_ms) {
    return false;
  }
  if (token < this->first_of_incarnation) {
    this->leases.extend(this->options.runner_max_lease, this->time.now());
    return false;  // It may be of a previous incarnation, whose clock shows another time.
  }
  const clock_reading reading{*answer.clock_ms, sent, this->time.now()};
  const same_incarnation same = this->runner_time.compare(reading);
  if (same == same_incarnation::no && this->admitted) {
    this->incarnation_uncertain = true;
  }
  if (same != same_incarnation::yes) {
    // In another incarnation, whose clock began anew, the lease lasts for the runner's own maximum.
    this->leases.extend(this->options.runner_max_lease, reading.received);
  }
  return same == same_incarnation::yes;
}

bool runner_session::has_unconfirmed_start() const {
  return std::any_of(this->runs.begin(), this->runs.end(), [this](const auto& entry) {
    const tracked_run& tracked = entry.second;
    const bool was_sent = tracked.recovered || tracked.command.lease_until_ms != 0;
    // Its end may be among those that follow.
    const bool answered = tracked.recovered || tracked.answered_at != instant{0};
    const bool end_may_follow = this->listed_all_it_can && answered;
    return was_sent && !tracked.confirmed && !end_may_follow;
  });
}

bool runner_session::may_acknowledge(instant now) const {
  return !this->incarnation_uncertain && !this->awaits_lapse && now >= this->ends_kept_until &&
         !this->has_unconfirmed_start();
}

void runner_session::settle_acknowledgement(const poll_request& request, command_status status) {
  if (request.acked_up_to == 0) {
    return;
  }
  this->acknowledged_with.reset();
  if (status == command_status::unknown && !this->is_superseded(request.target.token)) {
    this->tokens.raise();
  }
}

void runner_session::supersede_acknowledgement() {
  if (this->acknowledged_with && !this->is_superseded(*this->acknowledged_with)) {
    this->tokens.raise();
  }
}

bool runner_session::may_poll() const {
  if (this->poll_in_flight) {
    return false;
  }
  const bool poll_needed = !this->runs.empty() || !this->announced || this->has_unstored_ends();
  return poll_needed && this->reachable();
}

bool runner_session::poll_due(instant now, bool acknowledge) const {
  if (now < this->next_poll) {
    return false;
  }
  const bool renewal_due = now - this->last_renewal >= renew_after;
  return !this->has_unstored_ends() || !this->admitted || renewal_due || acknowledge;
}

void runner_session::poll(bool acknowledge) {
  if (!this->may_poll()) {
    return;
  }
  const instant now = this->time.now();
  if (!this->poll_due(now, acknowledge)) {
    return;
  }
  poll_request request;
  request.target = this->target();
  // One that acknowledges does not wait either, since it might wait at the next incarnation.
  if (this->acknowledgement_due() && this->may_acknowledge(now)) {
    request.acked_up_to = this->stored_up_to;
    this->acknowledged_with = request.target.token;
  }
  // A poll that waits carries no lease: while it had no answer, its lease might begin at any time.
  const bool may_extend = this->admitted && !this->incarnation_uncertain && this->is_proven(now);
  const millis since_renewal = now - this->last_renewal;
  const bool renew = may_extend && since_renewal >= renew_early;
  const bool may_wait = may_extend && !renew && this->announced && !this->has_unstored_ends() &&
                        !this->acknowledgement_due() && !this->runs.empty();
  request.wait = may_wait ? this->options.poll_wait - since_renewal : millis{0};
  const std::optional<millis> lease = renew ? this->next_lease(now) : std::nullopt;
  std::int64_t grant = no_grant;
  if (lease) {
    request.lease_until_ms = this->end_of_lease(*lease, now);
    this->note_granted(*request.lease_until_ms);
    grant = this->leases.sent({now, *lease, *lease, now + lease_expiry::longest_way});
    this->last_renewal = now;
  } else if (may_extend && !may_wait && request.acked_up_to == 0) {
    this->next_poll = now + this->options.retry;
  }
  this->poll_in_flight = true;
  this->port.poll(request, [this, request, now, grant, a = this->alive](const poll_answer& answer) {
    if (*a) {
      this->poll_in_flight = false;
      this->settle_grant(grant, answer.status);
      this->settle_acknowledgement(request, answer.status);
      this->poll_answered(answer, request, now);
    }
    if (*a) {
      this->send_after_answers();
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
    if (due && !this->may_acknowledge(now)) {
      this->next_poll = now + this->options.retry;
    }
    this->poll(due && request.acked_up_to == 0);
    return;
  }
  if (answer.status == command_status::fenced && !this->is_superseded(request.target.token)) {
    this->leader.token_refused(this->id);
    return;
  }
  if (answer.status == command_status::fenced) {
    this->next_poll = this->time.now();  // Our own later token has overtaken the poll.
    this->poll();
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

void runner_session::end_stored(std::int64_t number) {
  if (this->unstored_ends.erase(number) == 0) {
    return;  // Reported by a previous incarnation.
  }
  this->stored_up_to =
      this->unstored_ends.empty() ? this->last_end_seen : *this->unstored_ends.begin() - 1;
  const instant now = this->time.now();
  if (this->acknowledgement_due() && !this->may_acknowledge(now)) {
    const instant renewal = this->last_renewal + renew_after;
    this->next_poll = std::max(this->next_poll, std::min(now + this->options.retry, renewal));
  }
  this->poll();
}

bool runner_session::awaits_repeat(const tracked_run& tracked) {
  return tracked.stopping ? !tracked.stop_answered
                          : tracked.attempts > 0 && tracked.answered_at == instant{0};
}

void runner_session::try_again_at(tracked_run& tracked, instant when) {
  tracked.next_try = when;
  this->next_command = std::min(this->next_command, when);
}

bool runner_session::is_due(instant now) const {
  if (this->next_command <= now || (this->may_poll() && this->poll_due(now, false))) {
    return true;
  }
  return !this->runs.empty() && this->may_expire() && this->lease_end() <= now;
}

void runner_session::tick() {
  const instant now = this->time.now();
  std::vector<run_key> due;
  this->next_command = never;
  for (const auto& [run, tracked] : this->runs) {
    if (!awaits_repeat(tracked)) {
      continue;
    }
    if (tracked.next_try <= now) {
      due.push_back(run);
    } else {
      this->next_command = std::min(this->next_command, tracked.next_try);
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
  if (this->may_expire()) {
    this->close_expired();
  }
}

}  // namespace monsoonmux::cell
