#include "cell/lease_ledger.h"

namespace monsoonmux::cell {

void lease_ledger::sent(const std::vector<runner_lease_bound>& bounds) {
  this->last_sent.clear();
  for (const runner_lease_bound& bound : bounds) {
    this->last_sent.insert(bound.runner);
  }
  this->named.insert(this->last_sent.begin(), this->last_sent.end());
}

void lease_ledger::stored() {
  this->named = this->last_sent;
}

}  // namespace monsoonmux::cell
