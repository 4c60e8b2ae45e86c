// The electors are workers of the domain, because workers outlive the daemons'
// hosts; a takeover therefore needs neither the log nor another domain.
//
// Two rounds are needed for the epoch. In the first, the candidate obtains grants
// from a majority, and only that entitles it to choose an epoch. In the second, the
// same majority records the epoch. Any later majority shares an elector with this
// one and therefore learns the epoch.
//
// The candidate counts a grant's duration from the moment at which it sent the
// request, which is before the elector starts counting. A candidate that was paused
// therefore always sees its lease end before the electors do.
//
// A lease kept in the log would be the obvious design, but it would stop all
// placement whenever the platform's log is down.

#include "right/placement_lease.h"

#include <algorithm>

namespace monsoonmux {

placement_lease::placement_lease(std::vector<worker_id> electors, placement_lease_options options)
    : members(std::move(electors)), options(options) {}

// With n electors and the grants sorted by their end, latest first, a majority holds
// until the end of the (n/2+1)-th grant.
instant placement_lease::majority_until(bool recorded_only) const {
  std::vector<instant> ends;
  for (const auto& [elector, g] : this->grants) {
    if (g.recorded || !recorded_only) {
      ends.push_back(g.until);
    }
  }
  const std::size_t needed = this->members.size() / 2 + 1;
  if (this->members.empty() || ends.size() < needed) {
    return {};
  }
  std::sort(ends.rbegin(), ends.rend());
  return ends[needed - 1];
}

epoch placement_lease::proposal(instant now) {
  if (this->majority_until(false) <= now) {
    if (this->proposed.value != 0) {
      this->reset();
    }
    return {};
  }
  if (this->proposed.value == 0) {
    this->proposed = {this->highest.value + 1};
    ++this->current_round;
  }
  return this->proposed;
}

void placement_lease::on_answer(const worker_id& elector, std::int64_t round, instant sent,
                                const placement_lease_answer& answer) {
  const bool member =
      std::find(this->members.begin(), this->members.end(), elector) != this->members.end();
  if (!member || round != this->current_round) {
    return;
  }
  this->highest = std::max(this->highest, answer.recorded);
  if (!answer.granted || answer.uptime < this->options.ttl) {
    return;
  }
  grant& g = this->grants[elector];
  g.until = std::max(g.until, sent + this->options.ttl - this->options.margin);
  g.recorded = this->proposed.value != 0 && answer.recorded == this->proposed;
}

instant placement_lease::held_until() const {
  return this->proposed.value == 0 ? instant{} : this->majority_until(true);
}

void placement_lease::raise(epoch seen) {
  this->highest = std::max(this->highest, seen);
  if (this->proposed.value != 0 && this->proposed <= seen) {
    this->reset();
  }
}

std::string placement_lease::describe() const {
  std::string out = std::to_string(this->highest.value) + " " +
                    std::to_string(this->proposed.value) + " r" +
                    std::to_string(this->current_round);
  for (const auto& [elector, g] : this->grants) {
    out += " " + elector.text + ":" + std::to_string(g.until.value) + (g.recorded ? "+" : "-");
  }
  return out;
}

void placement_lease::reset() {
  this->grants.clear();
  this->proposed = {};
  ++this->current_round;
}

}  // namespace monsoonmux
