#include "model/cell_config.h"

#include <algorithm>

namespace monsoonmux::cell {
namespace {

template <class Entry, class Name>
const Entry* find_named(const std::vector<Entry>& entries, const Name& name) {
  const auto it = std::find_if(entries.begin(), entries.end(),
                               [&name](const Entry& entry) { return entry.name == name; });
  return it == entries.end() ? nullptr : &*it;
}

}  // namespace

const queue_config* cell_config::match(std::string_view host, std::string_view path) const {
  const queue_config* best = nullptr;
  for (const queue_config& queue : this->queues) {
    const bool matches = queue.host == host && path.starts_with(queue.path_prefix);
    if (matches && (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const queue_config* cell_config::find_queue(const queue_id& name) const {
  return find_named(this->queues, name);
}

const pool_config* cell_config::find_pool(const pool_id& name) const {
  return find_named(this->pools, name);
}

const team_config* cell_config::find_team(const team_id& name) const {
  return find_named(this->teams, name);
}

const team_config* cell_config::team_of_key(std::string_view key) const {
  for (const team_config& team : this->teams) {
    if (std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end()) {
      return &team;
    }
  }
  return nullptr;
}

}  // namespace monsoonmux::cell
