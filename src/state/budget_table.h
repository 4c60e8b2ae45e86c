#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "config/document.h"
#include "state/record.h"

namespace monsoonmux {

// The division of each team's upper limit among the failure domains.
//
// The budget share of a domain is its equal share of the limit, less the amounts that it
// transferred to other domains, plus the amounts that it received, since the limit last changed.
// For every prefix of the log the budget shares of a team sum to exactly its limit, so no sequence
// of records can increase the total. A change of the team's limit or of the set of domains voids
// earlier transfers.
//
// A donor always keeps its guaranteed budget, which is half of its equal share. A placer that has
// not yet read its own fencing record back from the log uses only the guaranteed budget, since
// earlier placers of the domain cannot have transferred it away.
class budget_table {
 public:
  // Applies the limits of a new version of the configuration.
  void configure(const document& doc, config_version version);
  // Sets the versions at which the limits last changed, after a config_refresh was installed.
  void restore_limit_versions(const std::vector<team_limit_version>& limits);

  // Applies a fencing record. Returns false if the record of a later placer came first.
  bool fence(const fencing_record& value);

  // Applies a transfer if it is valid, and returns whether it was. A transfer is void if its donor
  // epoch precedes the donor domain's last fencing record, if it refers to another version of the
  // limit, or if it would leave the donor with less than its guaranteed budget. The first
  // and the last condition do not apply to refresh records.
  bool apply(const budget_transfer& transfer);

  // The resources that the domain may use for the team, according to the log applied so far.
  resources budget_share(const team_id& team, const domain_id& domain) const;
  // The part of the budget share that no transfer can reduce.
  resources guaranteed_budget(const team_id& team, const domain_id& domain) const;
  // The version at which the team's limit last changed.
  config_version limit_version(const team_id& team) const;
  // The total that `from` has transferred to `to` since that version.
  resources given(const team_id& team, const domain_id& from, const domain_id& to) const;
  std::vector<team_limit_version> limit_versions() const;
  // Epoch of the domain's last fencing record.
  epoch fence_epoch(const domain_id& domain) const;
  std::int64_t fence_count(const domain_id& domain) const;
  // Every non-zero total in force, as refresh records to append to the log again.
  std::vector<budget_transfer> records() const;

 private:
  using route = std::pair<domain_id, domain_id>;  // Donor, recipient.
  struct team_entry {
    resources limit;
    config_version last_changed;
    std::map<domain_id, resources> initial_share;
    std::map<route, resources> given;
  };

  std::map<team_id, team_entry> entries;
  std::set<domain_id> domains;
  std::map<domain_id, epoch> fence_epochs;
  std::map<domain_id, std::int64_t> fence_counts;
};

}  // namespace monsoonmux
