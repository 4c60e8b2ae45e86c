// The leases that a session grants: how long, until when they count, and what is over then.

#include <algorithm>
#include <utility>
#include <vector>

#include "cell/clock_drift.h"
#include "cell/runner_session.h"

namespace monsoonmux::cell {
namespace {

// No lease lasts longer than this after the last time at which the runner is known to have run:
// starts alone must not keep the leases of a runner alive that answers nothing.
constexpr millis lease_after_proof{8'300};

// Of a start beside a run that lasts. Longer than a start may be under way, and so short that
// several in doubt extend the lease by little.
constexpr millis start_lease{1'500};

}  // namespace

std::optional<millis> runner_session::next_lease(instant now) const {
  if (this->awaits_lapse) {
    return std::nullopt;
  }
  const instant last_proof = std::max(this->runner_time.alive_at(), this->busy_since);
  const instant latest =
      std::min(this->leader.leases_until(this->id), last_proof + lease_after_proof);
  millis lease = std::min(this->options.max_lease, shortest_runner_time(latest - now));
  if (this->has_lasting_runs()) {
    const instant extends_from = std::max(now, this->leases.reach());
    const millis left = last_proof + lease_after_proof - extends_from;
    lease = std::min(lease, shortest_runner_time(left));
  }
  return lease > millis{0} ? std::optional(lease) : std::nullopt;
}

std::optional<millis> runner_session::next_start_lease(instant now) const {
  const std::optional<millis> longest = this->next_lease(now);
  if (!this->has_lasting_runs()) {
    return longest;
  }
  const millis least = std::min(start_lease, this->options.max_lease);
  if (this->leases.has_open_grants() && longest.value_or(millis{0}) < least) {
    return std::nullopt;
  }
  const bool goes_on = this->leases.granted_until() >= now + least;
  return longest && goes_on ? std::min(*longest, least) : longest;
}

bool runner_session::is_renewal(millis lease) const {
  return !this->has_lasting_runs() || lease > start_lease;
}

bool runner_session::has_lasting_runs() const {
  return std::any_of(this->runs.begin(), this->runs.end(),
                     [](const auto& entry) { return entry.second.lasts; });
}

std::int64_t runner_session::end_of_lease(millis lease, instant now) const {
  return this->runner_time.at_least(now) + lease.value;
}

// A command without an answer may be executed seconds later, when the leases that it extends
// should be over. Once the runner has executed one with a later token, it refuses that.
void runner_session::settle_grant(std::int64_t grant, command_status status) {
  if (grant == no_grant) {
    return;
  }
  if (status != command_status::unknown) {
    this->leases.answered(grant);
    return;
  }
  this->leases.unanswered(grant);
  this->tokens.raise();
  this->events.write(
      "lease_may_come_late",
      {{"runner", this->id}, {"leases_ms", (this->leases.end() - this->time.now()).value}});
}

void runner_session::note_fence() {
  if (this->leases.has_late_grants()) {
    // Its call may have come just before this.
    this->note_granted(this->reported_clock_ms + this->options.max_lease.value);
  }
  if (this->leases.awaits_fence()) {
    this->leases.fenced(this->time.now());
  }
}

void runner_session::note_granted(std::int64_t lease_until_ms) {
  this->granted_until_ms = std::max(this->granted_until_ms, lease_until_ms);
}

std::optional<millis> runner_session::lapse_margin() const {
  if (this->granted_until_ms == 0 || this->leases.has_late_grants()) {
    return std::nullopt;
  }
  return millis{this->reported_clock_ms - this->granted_until_ms};
}

bool runner_session::may_expire() const {
  return this->failed_polls > 0 || !this->reachable() || !this->admitted;
}

instant runner_session::runs_given_up_at() const {
  return !this->runs.empty() && this->may_expire() ? this->lease_end() : never;
}

instant runner_session::lease_end() const {
  instant out = never;
  for (const auto& [run, tracked] : this->runs) {
    out = std::min(out, this->end_of(tracked));
  }
  return out;
}

instant runner_session::end_of(const tracked_run& tracked) const {
  if (!tracked.lasts) {
    return this->leases.end();
  }
  const bool has_begun = tracked.recovered || tracked.answered_at != instant{0};
  return has_begun ? this->leases.end_of_begun() : this->leases.end_of_unbegun();
}

lease_limits runner_session::lease_limit() const {
  const instant in_time = this->has_lasting_runs() ? this->leases.end_of_begun_if_unanswered()
                                                   : this->leases.end_if_in_time();
  return {in_time, this->leases.end_if_unanswered()};
}

void runner_session::close_expired() {
  const instant now = this->time.now();
  std::vector<std::pair<run_key, std::string_view>> expired;
  // What was never sent cannot have crashed the runner.
  const auto may_have_begun = [](const tracked_run& tracked) {
    return tracked.recovered || tracked.command.lease_until_ms != 0 ||
           tracked.answered_at != instant{0};
  };
  for (const auto& [run, tracked] : this->runs) {
    if (now < this->end_of(tracked)) {
      continue;
    }
    const std::string_view lapsed =
        this->crashed_under(tracked) ? "runner_crashed" : "lease_lapsed";
    const std::string_view why = may_have_begun(tracked) ? lapsed : "not_sent";
    this->log_closed(run, tracked, why);
    expired.emplace_back(run, why);
  }
  if (expired.empty()) {
    return;
  }
  this->admitted = false;
  for (const auto& [run, why] : expired) {
    if (!this->runs.at(run).lasts) {
      this->lapsed_runs.insert(run);
    }
    this->runs.erase(run);
  }
  for (const auto& [run, why] : expired) {
    this->leader.run_lost(this->id, run, why);
  }
}

millis runner_session::late_lease_span() const {
  return this->leases.end_of_begun() - this->runner_time.alive_at();
}

}  // namespace monsoonmux::cell
