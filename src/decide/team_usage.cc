#include "decide/team_usage.h"

namespace monsoonmux::cell {
namespace {

bool within(std::int64_t used, std::int64_t more, std::int64_t limit) {
  return limit <= 0 || more <= 0 || used + more <= limit;
}

}  // namespace

bool team_usage::fits(const cell_config& config, const team_id& team, const resources& more) {
  const team_config* const terms = config.find_team(team);
  if (terms == nullptr) {
    return true;
  }
  const resources& now = this->usage[team];
  return within(now.cpu.value, more.cpu.value, terms->limit.cpu.value) &&
         within(now.memory.value, more.memory.value, terms->limit.memory.value) &&
         within(now.accelerators.value, more.accelerators.value, terms->limit.accelerators.value);
}

double team_usage::weighted_share(const cell_config& config, const team_id& team,
                                  const resources& total) {
  const team_config* const terms = config.find_team(team);
  const double weight = terms != nullptr && terms->weight > 0 ? terms->weight : 1;
  return dominant_share(this->usage[team], total) / weight;
}

}  // namespace monsoonmux::cell
