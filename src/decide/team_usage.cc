#include "decide/team_usage.h"

namespace monsoonmux::cell {
namespace {

bool within(std::int64_t used, std::int64_t more, std::int64_t limit) {
  return limit <= 0 || more <= 0 || used + more <= limit;
}

}  // namespace

bool team_usage::fits(const cell_config& config, const team_id& team, const resources& more) {
  const team_config* const entry = config.find_team(team);
  if (entry == nullptr) {
    return true;
  }
  const resources& now = this->usage[team];
  return within(now.cpu.value, more.cpu.value, entry->limit.cpu.value) &&
         within(now.memory.value, more.memory.value, entry->limit.memory.value) &&
         within(now.accelerators.value, more.accelerators.value, entry->limit.accelerators.value);
}

double team_usage::weighted_share(const cell_config& config, const team_id& team,
                                  const resources& total) {
  const team_config* const entry = config.find_team(team);
  const double weight = entry != nullptr && entry->weight > 0 ? entry->weight : 1;
  return dominant_share(this->usage[team], total) / weight;
}

}  // namespace monsoonmux::cell
