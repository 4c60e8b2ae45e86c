#include "member/candidacy.h"

#include <algorithm>

namespace monsoonmux {
namespace {

// A stable order that differs from domain to domain, so that one daemon does not
// come first everywhere.
std::size_t weight(const daemon_id& daemon, const domain_id& domain) {
  return std::hash<std::string>{}(daemon.text + "@" + domain.text);
}

}  // namespace

std::size_t candidacy::rank(const domain_id& domain, const std::vector<member>& alive,
                            bool& local) const {
  std::size_t before = 0;
  local = this->home == domain;
  const std::size_t own = weight(this->self, domain);
  for (const member& m : alive) {
    if (m.id == this->self || m.last.draining) {
      continue;
    }
    const bool other_local = m.last.domain == domain;
    const bool first = other_local != local ? other_local : weight(m.id, domain) < own;
    before += first ? 1 : 0;
  }
  return before;
}

bool candidacy::should_try(const domain_id& domain, const std::vector<member>& alive, instant now) {
  for (const member& m : alive) {
    const auto places = [&](const placing_info& p) { return p.domain == domain; };
    const auto& placing = m.last.placing;
    if (std::any_of(placing.begin(), placing.end(), places)) {
      this->vacant_since.erase(domain);
      return m.id == this->self;
    }
  }
  const instant since = this->vacant_since.try_emplace(domain, now).first->second;
  bool local = false;
  const auto before = static_cast<std::int64_t>(this->rank(domain, alive, local));
  const millis wait = this->options.step * before + (local ? millis{} : this->options.foreign);
  return now - since >= wait;
}

}  // namespace monsoonmux
