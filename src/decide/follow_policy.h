#pragma once

#include <functional>
#include <string>

#include "base/clock.h"

namespace monsoonmux::cell {

struct follow_options {
  // A daemon is strong if the relative capacity of its host is at least this. It reads
  // the work log as soon as it starts; a weak one first waits whether a leader appears
  // that does not need it as a standby.
  double strong_capacity = 0.2;
  // After this long without a leader heartbeat a strong daemon follows the work log,
  // whether it is chosen as a standby or not.
  millis strong_wait{1'500};
  // The same for a weak daemon, which takes much longer to read the log.
  millis weak_wait{2'500};
  // Weak daemons start at moments spread over this time: if all read the log at once,
  // they would slow each other down.
  millis weak_jitter{2'000};
  // A daemon that is no longer chosen as a standby keeps following for this long.
  millis unfollow_delay{3'000};
};

// Decides whether this daemon follows the work log, so that it can answer requests about
// jobs and take over as leader.
//
// Bounds the load that many daemons put on one log: only the standbys that the leader
// chose read it, and while there is no leader the strong daemons start first.
class follow_policy {
 public:
  follow_policy(const std::string& self, double relative_capacity, instant started,
                const follow_options& options = {});

  // Handles a heartbeat of a leader that gives commands. `chosen`: whether it chose this
  // daemon as a standby.
  void on_leader_heartbeat(instant now, bool chosen);
  // Handles a heartbeat saying that the choice of standbys is unchanged. This daemon may
  // not have received that choice yet.
  void on_unchanged_leader_heartbeat(instant now);
  // Handles a heartbeat of a leader that has not chosen its standbys yet: a daemon that
  // follows continues to.
  void on_undecided_leader_heartbeat(instant now);
  bool follows(instant now) const;
  // True if the leader of the last heartbeat counts on this daemon as a standby.
  bool chosen() const { return this->is_chosen; }

 private:
  const follow_options options;
  const bool strong;
  const millis wait;
  instant last_heartbeat;
  instant chosen_until{0};
  bool leader_seen = false;
  bool knows_choice = false;
  bool is_chosen = false;
};

}  // namespace monsoonmux::cell
