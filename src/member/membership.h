#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "wire/peer_message.h"

namespace monsoonmux {

struct member {
  daemon_id id;
  std::int64_t incarnation = 0;
  heartbeat last_heartbeat;
  instant last_heartbeat_at;
};

struct membership_options {
  // A member not heard for this long is taken for dead. Nothing unsafe follows
  // from an error: rights move by leases only. Members of other domains send
  // less often.
  domain_id home;
  millis dead_after{2'500};
  millis other_domain_dead_after{12'500};
  // A dead member is forgotten after this.
  millis forget_after{600'000};
};

// The daemons that this one knows of, from their heartbeats. Every daemon hears
// every other directly, so that one table look-up answers all questions; those of
// its own domain often, the others seldom (see docs/CAPACITY.md for the cost).
// Safe to call from any thread.
class membership {
 public:
  explicit membership(membership_options options) : options(std::move(options)) {}

  // Takes a heartbeat, unless it is of an earlier incarnation than one known.
  void on_heartbeat(const daemon_id& sender, std::int64_t incarnation, const heartbeat& beat,
                    instant now);
  // Members heard within their bound, in order of their names.
  std::vector<member> alive(instant now) const;
  // All that are remembered, for operators.
  std::vector<member> all(instant now);
  std::optional<member> find(const daemon_id& id) const;

 private:
  bool is_alive(const member& m, instant now) const;

  const membership_options options;
  mutable std::mutex lock;
  std::map<daemon_id, member> members;
};

}  // namespace monsoonmux
