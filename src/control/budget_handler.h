#pragma once

#include <map>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "state/budget_request.h"
#include "state/replica.h"

namespace monsoonmux {

// Manages one domain's part of the teams' upper limits and transfers unused parts
// to other domains.
//
// A team's allowance in the domain is the domain's budget share in the log less the
// transfers that this placer has begun and not yet read back from the log. Until
// the placer has read its own fencing record back, the allowance is only the
// guaranteed budget, since a previous placer may have transferred more than this
// daemon has read.
class budget_handler {
 public:
  budget_handler(domain_id domain, const replica& state)
      : domain(std::move(domain)), state(state) {}

  // Forgets all transfers. Called for a new placer, which does not know yet what
  // previous placers transferred.
  void reset();
  void set_confirmed() { this->confirmed = true; }
  bool is_confirmed() const { return this->confirmed; }

  resources allowance(const team_id& team) const;

  // Debits the amount that can be spared, up to the requested one, and returns the record to
  // append. Returns nothing if the amount is zero or a transfer of this team to the
  // same domain is in progress. `own_demand` is the domain's own usage and waiting
  // demand.
  std::optional<budget_transfer> begin_transfer(const budget_request& request,
                                                const resources& own_demand, epoch number);
  // Removes the debit once the record was read back, whether it was valid or not;
  // from then on the budget share in the log includes its effect.
  void finish_transfer(const budget_transfer& transfer);

 private:
  using route = std::pair<team_id, domain_id>;

  const domain_id domain;
  const replica& state;
  bool confirmed = false;
  std::map<route, resources> debits;
};

}  // namespace monsoonmux
