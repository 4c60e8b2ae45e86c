#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/peer_message.h"

namespace monsoonmux {

struct slot_allocator_options {
  millis ttl{6'000};  // Validity of a grant on the receiver's clock.
};

// What a domain's placer divides: the slots of a runner, or a team's part of its
// upper limit on calls.
struct slot_subject {
  std::string name;
  std::int32_t total = 0;
};

// A receiver of grants and what it said last.
struct slot_receiver {
  daemon_id daemon;
  std::int64_t incarnation = 0;
  std::int64_t now = 0;           // Its monotonic clock, as in its last heartbeat.
  epoch lease_placer;             // Newest grant that it had adopted by then:
  std::int64_t lease_number = 0;  // of which placer, and which of its grants.
  std::vector<slot_usage> held;
};

// The grantor's side: how many calls each daemon of the domain may have at each
// runner at one time.
//
// For every subject the slots that any daemon may be using never exceed the
// total: what was granted counts until the receiver has confirmed less, or until
// the grant and the longest call begun under it must have ended. A new placer
// does not know its predecessor's grants; it renews what live daemons say they
// hold, and gives out the rest when all unknown grants must have ended.
class slot_allocator {
 public:
  slot_allocator(slot_allocator_options options, epoch placer, millis max_call_duration,
                 instant began, bool is_first_placer)
      : options(options),
        placer(placer),
        max_call_duration(max_call_duration),
        recovery_ends(is_first_placer ? began : began + options.ttl + max_call_duration) {}

  // Divides the subjects among the takers and returns one grant for each, in the
  // same order.
  std::vector<slot_lease> plan(const std::vector<slot_subject>& subjects,
                               const std::vector<slot_receiver>& receivers, instant now);

 private:
  struct lease_entry {
    std::int32_t granted = 0;   // In the newest grant.
    std::int32_t reserved = 0;  // The most that may be in use.
    std::int64_t number = 0;    // Of the grant that brought `granted`.
    instant expires_at;         // When nothing of it can be in use any more.
  };
  // Calls of an earlier incarnation can still be running at a runner.
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
