// What a leader tells its successors about leases. A runner that does not answer is named in the
// renewals of the claim, with the time that is left of its leases; a successor then waits no
// longer than that, however often the leader changes.

#include <algorithm>
#include <set>
#include <utility>

#include "cell/leader.h"

namespace monsoonmux::cell {

instant leader::leases_until(const std::string& runner) {
  return this->leases.is_named(runner) ? instant{0} : this->on.leases_until();
}

std::vector<runner_lease_bound> leader::lease_bounds() {
  const instant now = this->services.time.now();
  this->forget_inherited_bounds(now);
  std::vector<runner_lease_bound> out;
  const auto name = [&out, now](const std::string& runner, const lease_limits& until) {
    out.push_back({runner, std::max(millis{0}, until.in_time - now),
                   std::max(millis{0}, until.if_late - now)});
  };
  for (const auto& [id, session] : this->sessions) {
    if (session->out_of_contact() && !this->inherited.by_runner.contains(id)) {
      name(id, session->lease_limit());
    }
  }
  for (const auto& [id, until] : this->inherited.by_runner) {
    name(id, until);
  }
  this->report_contact(out);
  this->leases.sent(out);
  this->services.metrics.gauge("runners_out_of_contact", static_cast<std::int64_t>(out.size()));
  return out;
}

// A predecessor's bound counts until the runner answers, or nothing that it concerns is left.
void leader::forget_inherited_bounds(instant now) {
  std::erase_if(this->inherited.by_runner, [this, now](const auto& entry) {
    const auto it = this->sessions.find(entry.first);
    const bool admitted = it != this->sessions.end() && it->second->is_admitted();
    const bool has_runs = it != this->sessions.end() && it->second->has_runs();
    return admitted || (this->is_active && entry.second.if_late < now && !has_runs);
  });
}

void leader::report_contact(const std::vector<runner_lease_bound>& bounds) {
  std::set<std::string> unreached;
  for (const runner_lease_bound& bound : bounds) {
    unreached.insert(bound.runner);
    if (!this->leases.was_sent(bound.runner)) {
      this->services.events.write("runner_out_of_contact",
                                  {{"runner", bound.runner}, {"leases_ms", bound.remaining.value}});
    }
  }
  for (const std::string& runner : this->leases.in_last_sent()) {
    if (!unreached.contains(runner)) {
      this->services.events.write("runner_in_contact", {{"runner", runner}});
    }
  }
}

void leader::note_ending_runs() {
  for (const std::string& id : std::exchange(this->with_ending_runs, {})) {
    if (runner_state* const runner = this->state.runners.find(id)) {
      runner->runs_given_up_at = never;
    }
  }
  for (const auto& [id, session] : this->sessions) {
    const instant given_up_at = session->runs_given_up_at();
    if (given_up_at == never) {
      continue;
    }
    if (runner_state* const runner = this->state.runners.find(id)) {
      runner->runs_given_up_at = given_up_at;
      this->with_ending_runs.push_back(id);
    }
  }
}

void leader::lease_bounds_stored() {
  this->leases.stored();
  for (const auto& [id, session] : this->sessions) {
    session->leases_allowed();
  }
}

}  // namespace monsoonmux::cell
