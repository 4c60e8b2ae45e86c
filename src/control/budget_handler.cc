#include "control/budget_handler.h"

#include <algorithm>

namespace monsoonmux {
namespace {

resources smaller(const resources& a, const resources& b) {
  return {std::min(a.cpu, b.cpu), std::min(a.memory, b.memory),
          std::min(a.accelerators, b.accelerators)};
}

resources positive(const resources& a) {
  return {std::max(a.cpu, millicores{}), std::max(a.memory, mebibytes{}),
          std::max(a.accelerators, devices{})};
}

}  // namespace

void budget_handler::reset() {
  this->confirmed = false;
  this->debits.clear();
}

resources budget_handler::allowance(const team_id& team) const {
  if (!this->confirmed) {
    return this->state.guaranteed_budget(team, this->domain);
  }
  resources out = this->state.budget_share(team, this->domain);
  for (const auto& [path, amount] : this->debits) {
    if (path.first == team) {
      out -= amount;
    }
  }
  return out;
}

std::optional<budget_transfer> budget_handler::begin_transfer(const budget_request& request,
                                                              const resources& own_demand,
                                                              epoch number) {
  const route path{request.team, request.to};
  if (!this->confirmed || request.to == this->domain || this->debits.count(path) != 0) {
    return std::nullopt;
  }
  const resources available = this->allowance(request.team);
  const resources guaranteed = this->state.guaranteed_budget(request.team, this->domain);
  const resources spare =
      smaller(positive(available - own_demand), positive(available - guaranteed));
  const resources amount = smaller(positive(request.amount), spare);
  if (amount.zero()) {
    return std::nullopt;
  }
  budget_transfer out;
  out.team = request.team;
  out.from = this->domain;
  out.to = request.to;
  out.total = this->state.budget_given(request.team, this->domain, request.to) + amount;
  out.limit_version = this->state.limit_version(request.team);
  out.donor_epoch = number;
  this->debits[path] = amount;
  return out;
}

void budget_handler::finish_transfer(const budget_transfer& transfer) {
  this->debits.erase({transfer.team, transfer.to});
}

}  // namespace monsoonmux
