#include "decide/follow_policy.h"

namespace monsoonmux::cell {

follow_policy::follow_policy(const std::string& self, double relative_capacity, instant started,
                             const follow_options& given)
    : options(given),
      strong(relative_capacity >= given.strong),
      wait(this->strong
               ? given.strong_wait
               : given.weak_wait + millis{static_cast<std::int64_t>(
                                       std::hash<std::string>{}(self) %
                                       static_cast<std::uint64_t>(given.weak_spread.value))}),
      heard(started) {}

void follow_policy::owner_heard(instant now, bool chosen) {
  this->ever_heard = true;
  this->knows_choice = true;
  this->heard = now;
  this->is_chosen = chosen;
  if (chosen) {
    this->chosen_until = now + this->options.linger;
  }
}

void follow_policy::owner_heard_again(instant now) {
  if (!this->knows_choice) {
    this->owner_heard_undecided(now);
    return;
  }
  this->owner_heard(now, this->is_chosen);
}

void follow_policy::owner_heard_undecided(instant now) {
  this->owner_heard(now, this->follows(now));
  this->knows_choice = false;
}

bool follow_policy::follows(instant now) const {
  if (this->strong && !this->ever_heard) {
    return true;
  }
  return this->is_chosen || now < this->chosen_until || now - this->heard >= this->wait;
}

}  // namespace monsoonmux::cell
