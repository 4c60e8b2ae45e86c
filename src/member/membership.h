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
  domain_id home;  // The domain of this daemon.
  // A member without a heartbeat for this long is considered dead. A wrong decision is
  // harmless, because the permission to place moves by leases only. Members of other
  // domains send heartbeats less often, so their limit is longer.
  millis dead_after{2'500};
  millis other_domain_dead_after{12'500};
  // A dead member is removed after this time without a heartbeat.
  millis forget_after{600'000};
};

// The daemons that this daemon knows of, from their heartbeats. Every daemon receives
// heartbeats from every other daemon directly, so that all questions are answered by
// a look-up in one table. Heartbeats from the own domain are frequent, those from
// other domains rare (see docs/CAPACITY.md for the cost). Safe to call from any
// thread.
class membership {
 public:
  explicit membership(membership_options options) : options(std::move(options)) {}

  // Records a heartbeat, unless it is from an earlier incarnation than the known one.
  void on_heartbeat(const daemon_id& sender, std::int64_t incarnation, const heartbeat& received,
                    instant now);
  // The members whose last heartbeat is recent enough, in order of their names.
  std::vector<member> alive(instant now) const;
  // All members that are not yet due for removal, dead ones included, for operators.
  std::vector<member> all(instant now);
  std::optional<member> find(const daemon_id& id) const;

 private:
  bool is_alive(const member& m, instant now) const;

  const membership_options options;
  mutable std::mutex lock;
  std::map<daemon_id, member> members;
};

}  // namespace monsoonmux
