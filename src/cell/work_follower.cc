#include "cell/work_follower.h"

#include "cell/topics.h"

namespace monsoonmux::cell {

work_follower::work_follower(event_loop& loop, shared_log& source, const clock& now, event_log& out,
                             follow_policy given_policy, const follower_options& given,
                             handlers callbacks)
    : io(loop),
      log(source),
      time(now),
      events(out),
      policy(std::move(given_policy)),
      options(given),
      on(std::move(callbacks)) {}

work_follower::~work_follower() = default;

void work_follower::update(bool needed) {
  const bool should_follow = needed || this->policy.follows(this->time.now());
  if (should_follow == this->follows()) {
    return;
  }
  if (should_follow) {
    this->events.write("work_followed", {{"chosen", this->policy.chosen()}});
    this->follower = std::make_unique<log_follower>(
        this->io, this->log, this->time, this->events, work_topic, this->options,
        log_follower::handlers{this->on.on_record, this->on.on_loaded, {}});
    this->follower->start();
    return;
  }
  this->events.write("work_left_to_others", {{"next", this->follower->position()}});
  this->follower.reset();
  this->on.on_closed();
  this->jobs.clear();
}

void work_follower::on_leader_heartbeat(std::optional<bool> chosen) {
  if (chosen) {
    this->policy.on_leader_heartbeat(this->time.now(), *chosen);
  } else {
    this->policy.on_undecided_leader_heartbeat(this->time.now());
  }
}

void work_follower::throttle(millis min_interval) {
  this->options.min_interval = min_interval;
  if (this->follower) {
    this->follower->throttle(min_interval);
  }
}

void work_follower::read_now() {
  if (this->follower) {
    this->follower->read_now();
  }
}

}  // namespace monsoonmux::cell
