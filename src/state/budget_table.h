#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "config/document.h"
#include "state/record.h"

namespace monsoonmux {

// How each team's upper limit is divided among the failure domains.
//
// A domain's allotment is its even part of the limit, less what it gave to
// others, plus what it received, since the limit last changed. For every prefix
// of the log the allotments of a team sum to exactly its limit, so nobody can
// mint any. A change of the team's limit or of the set of domains voids earlier
// transfers.
//
// A donor keeps at least its floor, half of its even part. A placer that has
// not read its own fence back uses only the floor, which no transfer of its
// predecessors can have given away.
class budget_table {
 public:
  // Takes over the limits of a new version of the configuration.
  void configure(const document& doc, config_version version);
  // Sets since when the limits are in force, after a refresh was installed.
  void restore_limit_versions(const std::vector<team_limit_version>& limits);

  // Applies a fence; false if a later placer's fence came first.
  bool fence(const fencing_record& value);

  // Applies a transfer if it is valid, and says whether it was. Void are those
  // of an earlier placer than the domain's last fence, of another version of
  // the limit, and those that would take the donor below its floor.
  bool apply(const budget_transfer& transfer);

  // What the domain may have running for the team, by the log so far.
  resources budget_share(const team_id& team, const domain_id& domain) const;
  // The part of the allotment that no transfer can take away.
  resources guaranteed_budget(const team_id& team, const domain_id& domain) const;
  // The version at which the team's limit last changed.
  config_version limit_version(const team_id& team) const;
  // All that `from` has given to `to` since then.
  resources given(const team_id& team, const domain_id& from, const domain_id& to) const;
  std::vector<team_limit_version> limit_versions() const;
  epoch fence_epoch(const domain_id& domain) const;
  std::int64_t fence_count(const domain_id& domain) const;
  // Every total in force, as records to append again.
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
