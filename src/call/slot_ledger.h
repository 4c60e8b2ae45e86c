#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/peer_message.h"

namespace monsoonmux {

struct slot_options {
  millis ttl{6'000};  // Validity of a grant on the receiver's clock.
};

// What a domain's placer divides: the slots of a runner, or a team's part of its
// upper limit on calls.
struct slot_subject {
  std::string name;
  std::int32_t total = 0;
};

// A receiver of grants and what it said last.
struct slot_taker {
  daemon_id daemon;
  std::int64_t incarnation = 0;
  std::int64_t now = 0;         // Its monotonic clock, as in its last heartbeat.
  epoch grant_placer;           // Newest grant that it had adopted by then:
  std::int64_t grant_seen = 0;  // of which placer, and which of its grants.
  std::vector<slot_holding> held;
};

// The grantor's side: how many calls each daemon of the domain may have at each
// runner at one time.
//
// For every subject the slots that any daemon may be using never exceed the
// total: what was granted counts until the receiver has confirmed less, or until
// the grant and the longest call begun under it must have ended. A new placer
// does not know its predecessor's grants; it renews what live daemons say they
// hold, and gives out the rest when all unknown grants must have ended.
class slot_ledger {
 public:
  slot_ledger(slot_options options, epoch placer, millis longest_call, instant began,
              bool first_ever)
      : options(options),
        placer(placer),
        longest_call(longest_call),
        open_at(first_ever ? began : began + options.ttl + longest_call) {}

  // Divides the subjects among the takers and returns one grant for each, in the
  // same order.
  std::vector<slot_grant> plan(const std::vector<slot_subject>& subjects,
                               const std::vector<slot_taker>& takers, instant now);

 private:
  struct account {
    std::int32_t granted = 0;   // In the newest grant.
    std::int32_t reserved = 0;  // The most that may be in use.
    std::int64_t number = 0;    // Of the grant that brought `granted`.
    instant ends;               // When nothing of it can be in use any more.
  };
  // Calls of an earlier incarnation can still be running at a runner.
  struct key {
    std::string subject;
    daemon_id daemon;
    std::int64_t incarnation = 0;
    auto operator<=>(const key&) const = default;
  };

  void confirm(const std::vector<slot_taker>& takers);
  void expire(instant now);
  std::int32_t fair_part(const slot_subject& subject, std::size_t index, std::size_t count) const;

  const slot_options options;
  const epoch placer;
  const millis longest_call;
  const instant open_at;
  std::map<key, account> accounts;
  std::int64_t next_number = 1;
};

}  // namespace monsoonmux
