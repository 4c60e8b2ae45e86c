#include "decide/room_outlook.h"

#include <algorithm>

namespace monsoonmux::cell {

resources room_outlook::free_on(const runner_state& runner, instant by) const {
  if (!runner.takes_work(this->now)) {
    return {};
  }
  resources out = runner.free_capacity();
  for (const auto& [key, run] : runner.allocations) {
    const instant end = run.stopping ? this->now + this->stop_time : run.expected_end(this->now);
    if (end <= by) {
      out += run.capacity_used;
    }
  }
  return out;
}

const std::vector<resources>& room_outlook::free_by(instant by) {
  const auto [it, is_new] = this->by_time.try_emplace(by);
  if (is_new) {
    it->second.reserve(this->runners.size());
    for (const runner_state* runner : this->runners) {
      it->second.push_back(this->free_on(*runner, by));
    }
  }
  return it->second;
}

std::size_t room_outlook::fitting(std::size_t runner, const resources& each, instant by,
                                  std::size_t most) {
  const resources left = this->free_by(by)[runner] - this->taken[runner];
  std::size_t out = 0;
  for (resources sum = each; out < most && sum.fits(left); sum += each) {
    ++out;
  }
  return out;
}

// What is counted on only grows, so what has not fitted does not fit later in the round, and
// nothing that needs more does.
bool room_outlook::may_fit(const resources& each, instant by) {
  const bool known =
      std::any_of(this->misfits.begin(), this->misfits.end(),
                  [&](const misfit& other) { return by <= other.by && other.each.fits(each); });
  if (known) {
    return false;
  }
  const std::vector<resources>& free = this->free_by(by);
  for (std::size_t i = 0; i < free.size(); ++i) {
    const std::size_t at = (this->last_fit_at + i) % free.size();
    if (each.fits(free[at] - this->taken[at])) {
      this->last_fit_at = at;
      return true;
    }
  }
  std::erase_if(this->misfits,
                [&](const misfit& other) { return other.by <= by && each.fits(other.each); });
  this->misfits.push_back({each, by});
  return false;
}

}  // namespace monsoonmux::cell
