#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "wire/peer_message.h"

namespace monsoonmux {

struct member {
  daemon_id id;
  std::int64_t incarnation = 0;
  heartbeat last;
  instant heard;
};

struct membership_options {
  // A member not heard for this long is taken for dead. Nothing unsafe follows
  // from an error: rights move by leases only.
  millis dead_after{2'500};
  // A dead member is forgotten after this.
  millis forget_after{600'000};
};

// The daemons that this one knows of, from their heartbeats. Every daemon hears
// every other directly, so that one table look-up answers all questions; at 36
// daemons and two heartbeats a second this costs what docs/CAPACITY.md says.
// Safe to call from any thread.
class membership {
 public:
  explicit membership(membership_options options) : options(options) {}

  // Takes a heartbeat, unless it is of an earlier incarnation than one known.
  void on_heartbeat(const daemon_id& sender, std::int64_t incarnation, const heartbeat& beat,
                    instant now);
  // Members heard within dead_after, in order of their names.
  std::vector<member> alive(instant now) const;
  // All that are remembered, for operators.
  std::vector<member> all(instant now);
  std::optional<member> find(const daemon_id& id) const;

 private:
  const membership_options options;
  mutable std::mutex lock;
  std::map<daemon_id, member> members;
};

}  // namespace monsoonmux
