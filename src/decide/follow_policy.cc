#include "decide/follow_policy.h"

namespace monsoonmux::cell {

follow_policy::follow_policy(const std::string& self, double relative_capacity, instant started,
                             const follow_options& given)
    : options(given),
      strong(relative_capacity >= given.strong_capacity),
      wait(this->strong
               ? given.strong_wait
               : given.weak_wait + millis{static_cast<std::int64_t>(
                                       std::hash<std::string>{}(self) %
                                       static_cast<std::uint64_t>(given.weak_jitter.value))}),
      last_heartbeat(started) {}

void follow_policy::on_leader_heartbeat(instant now, bool chosen) {
  this->leader_seen = true;
  this->knows_choice = true;
  this->last_heartbeat = now;
  this->is_chosen = chosen;
  if (chosen) {
    this->chosen_until = now + this->options.unfollow_delay;
  }
}

void follow_policy::on_unchanged_leader_heartbeat(instant now) {
  if (!this->knows_choice) {
    this->on_undecided_leader_heartbeat(now);
    return;
  }
  this->on_leader_heartbeat(now, this->is_chosen);
}

void follow_policy::on_undecided_leader_heartbeat(instant now) {
  this->on_leader_heartbeat(now, this->follows(now));
  this->knows_choice = false;
}

bool follow_policy::follows(instant now) const {
  if (this->strong && !this->leader_seen) {
    return true;
  }
  return this->is_chosen || now < this->chosen_until || now - this->last_heartbeat >= this->wait;
}

}  // namespace monsoonmux::cell
