#include "member/membership.h"

namespace monsoonmux {

void membership::on_heartbeat(const daemon_id& sender, std::int64_t incarnation,
                              const heartbeat& received, instant now) {
  const std::lock_guard guard(this->lock);
  member& m = this->members[sender];
  if (incarnation < m.incarnation) {
    return;
  }
  m = {sender, incarnation, received, now};
}

bool membership::is_alive(const member& m, instant now) const {
  const bool other_domain = m.last_heartbeat.domain != this->options.home;
  return now - m.last_heartbeat_at <=
         (other_domain ? this->options.other_domain_dead_after : this->options.dead_after);
}

std::vector<member> membership::alive(instant now) const {
  const std::lock_guard guard(this->lock);
  std::vector<member> out;
  for (const auto& [id, m] : this->members) {
    if (this->is_alive(m, now)) {
      out.push_back(m);
    }
  }
  return out;
}

std::vector<member> membership::all(instant now) {
  const std::lock_guard guard(this->lock);
  std::erase_if(this->members, [&](const auto& item) {
    return now - item.second.last_heartbeat_at > this->options.forget_after;
  });
  std::vector<member> out;
  for (const auto& [id, m] : this->members) {
    out.push_back(m);
  }
  return out;
}

std::optional<member> membership::find(const daemon_id& id) const {
  const std::lock_guard guard(this->lock);
  const auto it = this->members.find(id);
  return it == this->members.end() ? std::nullopt : std::optional<member>(it->second);
}

}  // namespace monsoonmux
