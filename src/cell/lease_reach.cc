#include "cell/lease_reach.h"

#include <algorithm>

namespace monsoonmux::cell {

lease_reach::lease_reach(const lease_reach_options& given, instant now) : options(given) {
  this->newest = this->without_bounds(now);
}

void lease_reach::add(std::int64_t offset, const lease_bounds& bounds, instant now) {
  this->clock_of_sender.add(bounds.nonce, bounds.sent_ms, now);
  this->last_bounds = read_bounds{offset, bounds};
}

void lease_reach::add(std::int64_t offset, const leader_claim& claim, instant now) {
  const bool has_bounds = this->last_bounds && this->last_bounds->offset + 1 == offset &&
                          this->last_bounds->bounds.nonce == claim.nonce;
  if (has_bounds) {
    this->newest = this->reach_of(this->last_bounds->bounds, now);
    return;
  }
  this->newest = this->without_bounds(now);
}

inherited_leases lease_reach::without_bounds(instant now) const {
  const instant in_time = now + this->options.horizon_without_bounds;
  return {{in_time, in_time + this->options.latest_execution}, {}};
}

inherited_leases lease_reach::reach_of(const lease_bounds& bounds, instant read) const {
  const instant sent = std::min(read, this->clock_of_sender.latest(bounds.sent_ms).value_or(read));
  inherited_leases out;
  const auto limits = [this, sent](millis in_time, const std::optional<millis>& if_late) {
    return lease_limits{sent + in_time,
                        sent + if_late.value_or(in_time + this->options.latest_execution)};
  };
  out.until = limits(bounds.longest.value_or(this->options.horizon), bounds.longest_if_late);
  for (const runner_lease_bound& bound : bounds.runners) {
    out.by_runner[bound.runner] = limits(bound.remaining, bound.remaining_if_late);
  }
  return out;
}

}  // namespace monsoonmux::cell
