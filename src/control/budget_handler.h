#pragma once

#include <map>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "state/budget_wish.h"
#include "state/replica.h"

namespace monsoonmux {

// One domain's side of the division of upper limits.
//
// What a placer may use of a team's limit is its allotment by the log less the
// transfers that it has begun and not yet read back. Before the placer's own
// fence was read back, it is only the floor, since a predecessor may have given
// away more than this daemon knows.
class budget_handler {
 public:
  budget_handler(domain_id domain, const replica& state)
      : domain(std::move(domain)), state(state) {}

  // A new placer starts without knowledge of its predecessors' transfers.
  void reset();
  void set_confirmed() { this->confirmed = true; }
  bool is_confirmed() const { return this->confirmed; }

  resources allowance(const team_id& team) const;

  // Debits what can be spared and returns the record to append; nothing if it
  // is zero or a transfer on this route is under way. `busy` is what the domain
  // itself uses and wants.
  std::optional<budget_transfer> begin_transfer(const budget_wish& wish, const resources& busy,
                                                epoch number);
  // The record was read back, valid or not; the log's view counts again.
  void finish_transfer(const budget_transfer& transfer);

 private:
  using route = std::pair<team_id, domain_id>;

  const domain_id domain;
  const replica& state;
  bool confirmed = false;
  std::map<route, resources> debits;
};

}  // namespace monsoonmux
