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
  // Taken off each grant for the difference in speed of two hosts' clocks.
  millis margin{200};
};

// One candidate's view of the right to place in a domain.
//
// The right is held while a strict majority of the domain's electors, which are
// workers, have granted a lease and recorded this candidate's epoch. The caller
// sends the requests and feeds the answers in:
//
//   placement_lease right(electors, options);
//   auto sent = clock.now();
//   port.acquire(w, {domain, me, options.ttl, right.proposal(sent)}, [&](auto a) {
//     right.on_answer(w, right.round(), sent, a.value());
//   });
//   if (right.held_until() > clock.now()) { ... }
//
// Promises, if electors keep a grant until it expires by their own clock and
// clocks differ in speed by less than margin/ttl: no two candidates hold the
// right at one time, and a later holder has a larger epoch. Grants of an elector
// that has been up for less than the ttl do not count, since it may have
// forgotten another's grant.
class placement_lease {
 public:
  placement_lease(std::vector<worker_id> electors, placement_lease_options options);

  // The epoch to ask electors to record now: 0 in the first round, in which the
  // highest recorded one is learnt, then one above it. Starts again with the
  // first round if the majority has lapsed.
  epoch proposal(instant now);
  // Tells answers to the present proposal from those to an abandoned one.
  std::int64_t round() const { return this->current_round; }
  // Takes an elector's answer to a request sent at `sent` in the given round.
  void on_answer(const worker_id& elector, std::int64_t round, instant sent,
                 const placement_lease_answer& answer);

  // The end of the right; in the past or at 0 if it is not held.
  instant held_until() const;
  epoch number() const { return this->proposed; }
  // Gives the right up, and starts again with the first round.
  void reset();
  // Takes note of an epoch seen elsewhere (the log, a worker). Electors that
  // restarted can have forgotten it; a proposal that is not above it is dropped.
  void raise(epoch seen);
  // All state in one line, for logs and for the model checker.
  std::string describe() const;

  const std::vector<worker_id>& electors() const { return this->members; }

 private:
  struct grant {
    instant until;
    bool recorded = false;  // Carries the proposed epoch.
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
