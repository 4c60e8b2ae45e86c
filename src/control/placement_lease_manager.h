#pragma once

#include <deque>
#include <vector>

#include "right/placement_lease.h"

namespace monsoonmux {

// Acquires and renews the placement lease of one domain for one daemon: decides
// which requests to send to which electors, and when.
//
// When the configuration names other electors, the previous set stays in use in
// addition for `overlap`. A candidate that does not know the new set yet therefore
// cannot win the lease while another daemon holds it. The lease is held while it is
// held from every set in use.
//
// A candidate that has not won a majority within one lease time releases its
// grants and backs off for a pseudo-random time derived from its name and its
// number of failed attempts. Otherwise two candidates that each have grants from
// some of the electors could block each other for good.
class placement_lease_manager {
 public:
  // A request to an elector. Its answer is passed to on_answer() together with this
  // value.
  struct elector_request {
    worker_id elector;
    placement_lease_request request;
    std::int64_t set = 0;
    std::int64_t round = 0;
    instant sent;
  };

  placement_lease_manager(domain_id domain, std::string holder, placement_lease_options options);

  void configure(const std::vector<worker_id>& electors, instant now);
  // Returns the requests that are due now; none while `candidate` is false and the
  // lease is not held.
  std::vector<elector_request> due_requests(instant now, bool candidate);
  void on_answer(const elector_request& sent_request, const placement_lease_answer& answer,
                 instant now);
  // Resets the state of the lease and returns the requests that release the grants.
  std::vector<elector_request> resign(instant now);
  void raise(epoch seen);

  // When the lease ends: the earliest end among the elector sets. It is in the past
  // or instant{} if the lease is not held.
  instant held_until() const;
  bool held(instant now) const { return this->held_until() > now; }
  epoch number() const;

 private:
  static constexpr millis overlap{3'600'000};

  struct elector_set {
    std::int64_t id = 0;
    placement_lease domain_lease;
    instant retire_at;  // End of the set's use; instant{} for the newest set.
    instant next_request;
    instant contending_since;  // Start of the present attempt; instant{} if none.
    std::int64_t failed_attempts = 0;
  };

  std::vector<elector_request> make_requests(elector_set& s, instant now, millis ttl);
  bool back_off(elector_set& s, instant now);

  const domain_id domain;
  const std::string holder;
  const placement_lease_options options;
  std::deque<elector_set> sets;
  std::int64_t next_set = 1;
};

}  // namespace monsoonmux
