#pragma once

#include <deque>
#include <vector>

#include "right/right_lease.h"

namespace monsoonmux {

// Drives the placement right of one domain for one daemon: whom to ask, when.
//
// When the configuration names other electors, the former ones stay in use
// beside them for `overlap`, so that a candidate that does not yet know the new
// set cannot win. The right is held while it is held from every set in use.
//
// A candidate that has won no majority for a lease time gives back what it has
// and pauses, for longer after each failure and by its own name, so that two
// candidates which each hold a part of the electors do not block each other.
class right_manager {
 public:
  // One request to an elector; its answer goes to on_answer() with this value.
  struct elector_request {
    worker_id elector;
    right_request request;
    std::int64_t set = 0;
    std::int64_t round = 0;
    instant sent;
  };

  right_manager(domain_id domain, std::string holder, right_options options);

  void configure(const std::vector<worker_id>& electors, instant now);
  // The requests that are due now. Asks for nothing while `candidate` is false
  // and the right is not held.
  std::vector<elector_request> due_requests(instant now, bool candidate);
  void on_answer(const elector_request& sent_request, const right_answer& answer, instant now);
  // Requests that give the grants back, and forgets the right.
  std::vector<elector_request> resign(instant now);
  void raise(epoch seen);

  // When the right ends; instant{} if it is not held.
  instant held_until() const;
  bool held(instant now) const { return this->held_until() > now; }
  epoch number() const;

 private:
  static constexpr millis overlap{3'600'000};

  struct elector_set {
    std::int64_t id = 0;
    right_lease right;
    instant retire_at;  // When the set goes out of use; instant{} for the newest.
    instant next_request;
    instant contending_since;  // First request without a majority; instant{} if held.
    std::int64_t failed_attempts = 0;
  };

  std::vector<elector_request> make_requests(elector_set& s, instant now, millis ttl);
  bool back_off(elector_set& s, instant now);

  const domain_id domain;
  const std::string holder;
  const right_options options;
  std::deque<elector_set> sets;
  std::int64_t next_set = 1;
};

}  // namespace monsoonmux
