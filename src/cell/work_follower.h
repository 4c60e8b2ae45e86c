#pragma once

#include <functional>
#include <memory>

#include "async/event_log.h"
#include "base/clock.h"
#include "cell/log_follower.h"
#include "decide/follow_policy.h"
#include "decide/job_table.h"

namespace monsoonmux::cell {

// Follows the work topic and keeps the table of all jobs, on a daemon that has to; on the
// other daemons the table is empty.
//
// The work topic is read only by daemons that may have to take over as leader; the others
// query these. A daemon starts or stops following at run time, as decided by the leader's
// choice of standbys and the follow policy.
class work_follower {
 public:
  struct handlers {
    std::function<void(const logged_record&)> on_record;
    std::function<void()> on_loaded;  // The job table is complete.
    std::function<void()> on_closed;  // The job table is no longer updated.
  };

  work_follower(event_loop& io, shared_log& log, const clock& time, event_log& events,
                follow_policy policy, const follower_options& options, handlers on);
  ~work_follower();
  work_follower(const work_follower&) = delete;
  work_follower& operator=(const work_follower&) = delete;

  // Starts or stops following; `needed` is true if this daemon leads or is about to.
  void update(bool needed);
  // A heartbeat of a leader arrived. `chosen`: whether this daemon is a standby; nullopt while
  // the leader has not chosen its standbys yet.
  void on_leader_heartbeat(std::optional<bool> chosen);
  // A heartbeat of the leader arrived, and its choice of standbys is unchanged.
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
  // When the job table last contained all records of the topic.
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
