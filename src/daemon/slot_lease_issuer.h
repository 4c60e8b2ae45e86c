#pragma once

#include <functional>
#include <map>
#include <memory>

#include "call/slot_allocator.h"
#include "daemon/node_core.h"

namespace monsoonmux {

// Divides the slots of the runners, and the teams' limits on concurrent calls, among
// the daemons of each domain in which this daemon places. Used by the control thread
// only.
class slot_lease_issuer {
 public:
  using send_lease = std::function<void(const member&, const slot_lease&)>;

  explicit slot_lease_issuer(node_core& core) : core(core) {}

  // Sends a slot lease to each live daemon of those domains that is not draining.
  void tick(instant now, const send_lease& send);

 private:
  struct domain_state {
    epoch leader_epoch;
    std::unique_ptr<slot_allocator> allocator;
  };

  void issue_leases(const placer_status& status, instant now, const send_lease& send);
  std::vector<slot_subject> subjects(const domain_id& domain) const;
  millis longest_call_duration() const;

  node_core& core;
  std::map<domain_id, domain_state> domains;
};

}  // namespace monsoonmux
