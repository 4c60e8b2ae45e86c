#include "place/team_table.h"

namespace monsoonmux {

const team_account* team_table::find(const team_id& team) const {
  const auto it = this->accounts.find(team);
  return it == this->accounts.end() ? nullptr : &it->second;
}

std::int64_t team_table::active_shares() const {
  std::int64_t sum = 0;
  for (const auto& [team, account] : this->accounts) {
    sum += account.active() ? account.share : 0;
  }
  return sum;
}

double team_table::entitlement(const team_account& account, std::int64_t active_shares) const {
  return active_shares > 0 ? static_cast<double>(account.share) / static_cast<double>(active_shares)
                           : 1.0;
}

}  // namespace monsoonmux
