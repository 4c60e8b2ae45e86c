#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "platform/worker_port.h"

namespace monsoonmux {

struct placement_lease_options {
  millis ttl{4'000};
  // Subtracted from the duration of each grant, because the clocks of two hosts can
  // differ in speed.
  millis margin{200};
};

// One candidate's view of a domain's placement lease, the permission to place in the
// domain until a moment.
//
// The lease is held while a strict majority of the domain's electors, which are
// workers, have granted it and recorded this candidate's epoch. The caller sends
// the requests and passes the answers in:
//
//   placement_lease lease(electors, options);
//   auto sent = clock.now();
//   auto number = lease.proposal(sent);
//   auto round = lease.round();
//   port.acquire(w, {domain, me, options.ttl, number}, [&](auto a) {
//     lease.on_answer(w, round, sent, a.value());
//   });
//   if (lease.held_until() > clock.now()) { ... }
//
// Guarantees, provided that electors keep a grant until it expires by their own
// clock and that clocks differ in speed by less than margin/ttl: no two candidates
// hold the lease at the same time, and a later holder has a larger epoch. Grants of
// an elector that has been up for less than the ttl are not counted, since it may
// have lost a grant to another candidate in a restart.
class placement_lease {
 public:
  placement_lease(std::vector<worker_id> electors, placement_lease_options options);

  // Returns the epoch that electors are to record now: 0 in the first round, in which
  // the candidate learns the highest recorded epoch, then that epoch plus one. Starts
  // again with the first round if the majority has expired.
  epoch proposal(instant now);
  // A number that distinguishes answers to the present proposal from answers to an
  // abandoned one.
  std::int64_t round() const { return this->current_round; }
  // Processes an elector's answer to a request that was sent at `sent` in the given
  // round.
  void on_answer(const worker_id& elector, std::int64_t round, instant sent,
                 const placement_lease_answer& answer);

  // When the lease ends; in the past or instant{} if it is not held.
  instant held_until() const;
  epoch number() const { return this->proposed; }
  // Gives up the lease and starts again with the first round.
  void reset();
  // Reports an epoch that was seen elsewhere (in the log or at a worker), since electors
  // that restarted can have lost it. A proposal that is not larger is dropped.
  void raise(epoch seen);
  // All state in one line, for logs and for the model checker.
  std::string describe() const;

  const std::vector<worker_id>& electors() const { return this->members; }

 private:
  struct grant {
    instant until;
    bool recorded = false;  // The elector has recorded the proposed epoch.
  };

  instant majority_until(bool recorded_only) const;

  std::vector<worker_id> members;
  placement_lease_options options;
  std::map<worker_id, grant> grants;
  epoch highest;
  epoch proposed;
  std::int64_t current_round = 0;
};

}  // namespace monsoonmux
