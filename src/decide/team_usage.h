#pragma once

#include <unordered_map>

#include "base/ids.h"
#include "base/resources.h"
#include "model/cell_config.h"

namespace monsoonmux::cell {

// Tracks the resources that each team uses and checks them against its quota.
class team_usage {
 public:
  void add(const team_id& team, const resources& amount) { this->usage[team] += amount; }
  void remove(const team_id& team, const resources& amount) { this->usage[team] -= amount; }
  const resources& used(const team_id& team) { return this->usage[team]; }

  // True if `more` stays within the team's quota. A component of the quota that is 0 means
  // no limit. Teams that the configuration does not name, such as those of open queues,
  // have no quota.
  bool fits(const cell_config& config, const team_id& team, const resources& more);
  // The team's dominant share of `total`, divided by its weight.
  double weighted_share(const cell_config& config, const team_id& team, const resources& total);

 private:
  std::unordered_map<team_id, resources> usage;
};

}  // namespace monsoonmux::cell
