#pragma once

#include <map>

#include "base/ids.h"
#include "base/resources.h"
#include "place/pending_queue.h"

namespace monsoonmux {

// The scheduler's record of one team in one domain.
struct team_account {
  std::int64_t share = 1;
  resources allowance;  // Upper limit in this domain; starts never exceed it.
  resources used;       // Allocated to running tasks.
  pending_queue waiting;

  bool active() const { return !this->used.zero() || !this->waiting.empty(); }
};

// The teams of one domain and their entitlements.
//
// A team's entitlement is a fraction of the capacity: its share divided by the
// sum of the shares of all active teams, which are those with running or waiting
// work. A team's usage is its dominant share. The capacity of an inactive team
// is thus available to the others until that team submits work.
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
