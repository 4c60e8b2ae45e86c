#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"
#include "cell/inherited_leases.h"

namespace monsoonmux::cell {

// A command that carries a lease, which extends the leases of all runs on its runner.
struct lease_grant {
  instant sent;
  millis lease;          // On the runner's clock.
  millis lease_if_late;  // The same if the command is executed late.
  // No runner executes the command later than this.
  instant executed_by;
  bool begins_run = false;  // Otherwise it matters only to runs that are there.
};

// Until when the leases on one runner last, by the commands that were sent to it.
//
// A command without an answer may be executed seconds later, and the time of its lease may count
// from then. So it has no end until the command cannot be executed any more: until the runner has
// executed one with a later token, or `executed_by` has passed.
class lease_expiry {
 public:
  // No command is executed later than this after it was sent: a late one 12 s after
  // (docs/PLATFORM.md), and it may have waited at an agent before.
  static constexpr millis longest_way{13'000};

  // `inherited`: the leases by commands of previous leaders, which are fenced like our own.
  // `longest_lease`: that the runner grants.
  lease_expiry(const lease_limits& inherited, millis longest_lease)
      : longest_lease(longest_lease),
        settled(inherited.in_time),
        inherited_if_late(inherited.if_late) {
    this->reckon();
  }

  // All leases have ended then, if no further command is sent.
  instant end() const { return this->latest; }
  // The same if the commands that may still be answered are executed late too.
  instant end_if_unanswered() const;
  // The same if no command is executed late.
  instant end_if_in_time() const { return this->latest_in_time; }
  // Until when the leases of the runs last that the runner has begun already, by commands of this
  // leader that may be executed late and by those of previous leaders in time. A late command
  // extends the lease of a run only as long as that has not ended.
  instant end_of_begun() const { return this->latest_of_begun; }
  // The same if the commands that may still be answered are executed late too.
  instant end_of_begun_if_unanswered() const { return this->end_of_begun_from(this->settled); }
  // The same for a run that a late command may begin.
  instant end_of_unbegun() const { return this->latest_of_unbegun; }
  // Until when this leader's own commands that are not open any more extended leases.
  instant granted_until() const { return this->granted; }
  // The same by all its commands, each of which may be executed late.
  instant reach() const { return this->end_of_begun_from(this->granted); }
  // Returns the number of the grant.
  std::int64_t sent(const lease_grant& grant);
  // The command was executed in time, or refused.
  void answered(std::int64_t number);
  // The command got no answer, so it may be executed late.
  void unanswered(std::int64_t number);
  // The runner has executed a command that it got later, with a later token, by `now`.
  void fenced(instant now);
  // True if a command without an answer may still be executed. No further lease should be granted.
  bool has_late_grants() const { return this->late > 0; }
  bool has_open_grants() const { return !this->open.empty(); }
  std::int64_t late_grants() const { return this->late; }
  // True if fenced() has something to settle.
  bool awaits_fence() const { return this->has_late_grants() || !this->is_inherited_fenced; }
  // A command with a lease that no grant here describes was executed by `now`.
  void extend(millis lease, instant now);

 private:
  struct open_grant {
    lease_grant grant;
    bool late = false;
  };
  // The end where each late grant of these may be executed just before the other leases end.
  static instant extended_by(std::vector<lease_grant> late_grants, instant others);
  instant end_of_begun_from(instant others) const;
  void reckon();

  const millis longest_lease;
  instant settled;  // The end by the grants that are not open any more.
  // The same by commands of previous leaders that may be executed late.
  instant inherited_if_late;
  bool is_inherited_fenced = false;
  instant latest;
  instant latest_in_time;
  instant latest_of_begun;
  instant latest_of_unbegun;
  instant granted{0};
  std::map<std::int64_t, open_grant> open;  // In the order of sending.
  std::int64_t next_number = 1;
  std::int64_t late = 0;
};

}  // namespace monsoonmux::cell
