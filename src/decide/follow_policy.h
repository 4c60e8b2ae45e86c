#pragma once

#include <functional>
#include <string>

#include "base/clock.h"

namespace monsoonmux::cell {

struct follow_options {
  // A host of this strength reads the work as soon as it starts; the others wait
  // whether an owner appears that does not need them.
  double strong_capacity = 0.2;
  // Without an owner for this long a strong daemon follows the work, chosen or not.
  millis strong_wait{1'500};
  // The same of a weak one, which takes much longer to read it.
  millis weak_wait{2'500};
  // Weak daemons spread over this time, since reading at once they would keep each
  // other from it.
  millis weak_jitter{2'000};
  // One that is no longer chosen goes on for this long.
  millis unfollow_delay{3'000};
};

// Whether this daemon reads the work, so that it can answer for it and take it over.
//
// Answers the load of many daemons that share one log: only those that the owner chose
// read it, and without an owner the strong ones first.
class follow_policy {
 public:
  follow_policy(const std::string& self, double relative_capacity, instant started,
                const follow_options& options = {});

  // An owner that gives orders was heard, which has chosen this daemon or has not.
  void on_leader_heartbeat(instant now, bool chosen);
  // The same, and its choice is what it was; what that is may not have been heard.
  void on_unchanged_leader_heartbeat(instant now);
  // The same, and it has not chosen yet: who follows goes on.
  void on_undecided_leader_heartbeat(instant now);
  bool follows(instant now) const;
  // True if the last owner that was heard counted on this daemon.
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
