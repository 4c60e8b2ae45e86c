#pragma once

#include <unordered_map>

#include "base/ids.h"
#include "base/resources.h"
#include "model/cell_config.h"

namespace monsoonmux::cell {

// What each tenant has running, and whether one task more stays in its limit.
class team_usage {
 public:
  void add(const team_id& team, const resources& amount) { this->usage[team] += amount; }
  void remove(const team_id& team, const resources& amount) { this->usage[team] -= amount; }
  const resources& used(const team_id& team) { return this->usage[team]; }

  // A component of the limit that is 0 does not bind. Tenants that the
  // configuration does not name, such as those of open queues, have no limit.
  bool fits(const cell_config& config, const team_id& team, const resources& more);
  // Dominant share of `total` that the tenant uses, over its weight.
  double weighted_share(const cell_config& config, const team_id& team, const resources& total);

 private:
  std::unordered_map<team_id, resources> usage;
};

}  // namespace monsoonmux::cell
