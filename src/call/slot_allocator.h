#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/peer_message.h"

namespace monsoonmux {

struct slot_allocator_options {
  millis ttl{6'000};  // How long a lease is valid, on the receiver's clock.
};

// Something whose slots the placer of a domain divides among daemons: a runner, or the domain's
// part of a team's upper limit on calls.
struct slot_subject {
  std::string name;
  std::int32_t total = 0;
};

// A daemon that receives slot leases, with the state that its last heartbeat reported.
struct slot_receiver {
  daemon_id daemon;
  std::int64_t incarnation = 0;
  std::int64_t now = 0;           // The receiver's monotonic clock.
  epoch lease_placer;             // The placer that issued the newest lease adopted,
  std::int64_t lease_number = 0;  // and the number of that lease.
  std::vector<slot_usage> held;
};

// Issues slot leases: decides how many concurrent calls each daemon of the domain may have at each
// runner.
//
// For every subject, the slots that all daemons together may be using never exceed the total.
// Leased slots count as reserved until the receiver has confirmed a smaller number, or until the
// lease has expired and the longest call begun under it must have ended. A new placer does not know
// the leases of its predecessor: it renews the slots that live daemons report, and leases the
// remaining slots only when all unknown leases must have expired and their calls ended.
class slot_allocator {
 public:
  slot_allocator(slot_allocator_options options, epoch placer, millis max_call_duration,
                 instant began, bool is_first_placer)
      : options(options),
        placer(placer),
        max_call_duration(max_call_duration),
        recovery_ends(is_first_placer ? began : began + options.ttl + max_call_duration) {}

  // Divides the slots of the subjects among the receivers and returns one lease for each receiver,
  // in the same order.
  std::vector<slot_lease> plan(const std::vector<slot_subject>& subjects,
                               const std::vector<slot_receiver>& receivers, instant now);

 private:
  // The slots of one subject that are leased to one receiver.
  struct lease_entry {
    std::int32_t granted = 0;   // Slots given by the newest lease.
    std::int32_t reserved = 0;  // Upper bound on the slots that may be in use.
    std::int64_t number = 0;    // Number of the first lease that gave `granted` slots.
    instant expires_at;         // From then on none of the slots can be in use.
  };
  // Includes the incarnation because calls of an earlier incarnation may still be running at a
  // runner.
  struct key {
    std::string subject;
    daemon_id daemon;
    std::int64_t incarnation = 0;
    auto operator<=>(const key&) const = default;
  };

  void confirm(const std::vector<slot_receiver>& receivers);
  void expire(instant now);
  std::int32_t fair_share(const slot_subject& subject, std::size_t index, std::size_t count) const;

  const slot_allocator_options options;
  const epoch placer;
  const millis max_call_duration;
  const instant recovery_ends;
  std::map<key, lease_entry> lease_entries;
  std::int64_t next_number = 1;
};

}  // namespace monsoonmux
