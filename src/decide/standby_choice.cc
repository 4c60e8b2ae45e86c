#include "decide/standby_choice.h"

#include <algorithm>
#include <set>

namespace monsoonmux::cell {
namespace {

bool is_stronger(const standby_candidate& a, const standby_candidate& b) {
  return a.relative_capacity != b.relative_capacity ? a.relative_capacity > b.relative_capacity
                                                    : a.daemon < b.daemon;
}

}  // namespace

std::vector<std::string> choose_standbys(std::vector<standby_candidate> candidates,
                                         const domain_id& leader_domain,
                                         const standby_options& options) {
  std::sort(candidates.begin(), candidates.end(), is_stronger);
  const double highest_capacity = candidates.empty() ? 0 : candidates.front().relative_capacity;
  // Moves the first candidate of each failure domain other than the leader's to the front.
  std::set<std::string> domains{leader_domain.text};
  std::stable_partition(candidates.begin(), candidates.end(),
                        [&domains](const standby_candidate& candidate) {
                          return domains.insert(candidate.domain.text).second;
                        });
  std::vector<std::string> chosen;
  std::vector<std::string> weak_hosts;
  for (const standby_candidate& candidate : candidates) {
    const bool strong_enough =
        candidate.relative_capacity >= highest_capacity * options.min_relative_capacity;
    if (strong_enough && chosen.size() < options.max_standbys) {
      chosen.push_back(candidate.daemon);
    } else if (!strong_enough) {
      weak_hosts.push_back(candidate.daemon);
    }
  }
  for (std::size_t i = 0; i < weak_hosts.size() && chosen.size() < options.min_standbys; ++i) {
    chosen.push_back(weak_hosts[i]);
  }
  return chosen;
}

}  // namespace monsoonmux::cell
