#include "member/candidacy.h"

#include <algorithm>

namespace monsoonmux {
namespace {

// A sort key that gives a stable order that differs between domains, so that the same
// daemon does not come first in every domain.
std::size_t candidate_order(const daemon_id& daemon, const domain_id& domain) {
  return std::hash<std::string>{}(daemon.text + "@" + domain.text);
}

}  // namespace

std::size_t candidacy::rank(const domain_id& domain, const std::vector<member>& alive,
                            bool& local) const {
  std::size_t preceding = 0;
  local = this->home == domain;
  const std::size_t own = candidate_order(this->self, domain);
  for (const member& m : alive) {
    if (m.id == this->self || m.last_heartbeat.draining) {
      continue;
    }
    const bool other_local = m.last_heartbeat.domain == domain;
    const bool precedes = other_local != local ? other_local : candidate_order(m.id, domain) < own;
    preceding += precedes ? 1 : 0;
  }
  return preceding;
}

bool candidacy::should_compete(const domain_id& domain, const std::vector<member>& alive,
                               instant now) {
  for (const member& m : alive) {
    const auto places = [&](const placement_info& p) { return p.domain == domain; };
    const auto& placing = m.last_heartbeat.placing;
    if (std::any_of(placing.begin(), placing.end(), places)) {
      this->vacant_since.erase(domain);
      return m.id == this->self;
    }
  }
  const instant since = this->vacant_since.try_emplace(domain, now).first->second;
  bool local = false;
  const auto preceding = static_cast<std::int64_t>(this->rank(domain, alive, local));
  const millis wait =
      this->options.step_delay * preceding + (local ? millis{} : this->options.other_domain_delay);
  return now - since >= wait;
}

}  // namespace monsoonmux
