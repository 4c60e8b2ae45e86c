#pragma once

#include <functional>
#include <memory>

#include "async/event_log.h"
#include "base/clock.h"
#include "cell/log_follower.h"
#include "decide/follow_policy.h"
#include "decide/job_table.h"

namespace monsoonmux::cell {

// The book of all jobs of a daemon that follows the work, and nothing on the others.
//
// What the log holds of the work is read only by daemons that may have to take it over;
// the rest ask them. A daemon begins or ceases to follow as the owner and the policy
// say, while it runs.
class work_follower {
 public:
  struct handlers {
    std::function<void(const logged_record&)> on_record;
    std::function<void()> on_loaded;  // The book is complete.
    std::function<void()> on_closed;  // The book is no longer fed.
  };

  work_follower(event_loop& io, shared_log& log, const clock& time, event_log& events,
                follow_policy policy, const follower_options& options, handlers on);
  ~work_follower();
  work_follower(const work_follower&) = delete;
  work_follower& operator=(const work_follower&) = delete;

  // Begins or ceases to follow; `needed`: this daemon owns or is about to.
  void update(bool needed);
  // An owner was heard; `chosen` is nothing while it has not chosen yet.
  void on_leader_heartbeat(std::optional<bool> chosen);
  // The owner was heard, whose choice stands.
  void on_unchanged_leader_heartbeat() {
    this->policy.on_unchanged_leader_heartbeat(this->time.now());
  }
  bool chosen() const { return this->policy.chosen(); }
  bool follows() const { return this->follower != nullptr; }
  bool loaded() const { return this->follower && this->follower->loaded(); }
  std::int64_t position() const { return this->follower ? this->follower->position() : 0; }
  instant last_contact() const {
    return this->follower ? this->follower->last_contact() : instant{0};
  }
  // When the book held all that the log did.
  instant caught_up() const { return this->follower ? this->follower->caught_up() : instant{0}; }
  void throttle(millis min_interval);
  void read_now();
  job_table& table() { return this->jobs; }

 private:
  event_loop& io;
  shared_log& log;
  const clock& time;
  event_log& events;
  follow_policy policy;
  follower_options options;
  const handlers on;
  job_table jobs;
  std::unique_ptr<log_follower> follower;
};

}  // namespace monsoonmux::cell
