#pragma once

#include <map>

#include "base/ids.h"
#include "base/resources.h"
#include "place/pending_queue.h"

namespace monsoonmux {

// What the scheduler keeps for one team in one domain.
struct team_account {
  std::int64_t share = 1;
  resources allowance;  // Upper limit here; never exceeded by starts.
  resources used;       // Reserved by running tasks.
  pending_queue waiting;

  bool active() const { return !this->used.zero() || !this->waiting.empty(); }
};

// The teams of one domain and their entitlements.
//
// A team's entitlement is its weight among the teams that run or want anything,
// as a fraction of the capacity. What a team uses is measured by its dominant
// share. Idle share is thereby lent to the others until its owner wants it.
class team_table {
 public:
  team_account& at(const team_id& team) { return this->accounts[team]; }
  const team_account* find(const team_id& team) const;
  std::map<team_id, team_account>& all() { return this->accounts; }
  const std::map<team_id, team_account>& all() const { return this->accounts; }

  void set_capacity(const resources& capacity) { this->total = capacity; }
  const resources& capacity() const { return this->total; }

  // Sum of the shares of all active teams.
  std::int64_t active_shares() const;
  double entitlement(const team_account& account, std::int64_t active_shares) const;
  double usage(const resources& used) const { return dominant_share(used, this->total); }

 private:
  std::map<team_id, team_account> accounts;
  resources total;
};

}  // namespace monsoonmux
