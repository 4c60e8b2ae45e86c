// The division of the upper limits is a pure function of the log prefix. For each pair of domains
// the amount transferred is kept as a total that only grows, so records may be repeated, and the
// state per team is bounded by the square of the number of domains. The obvious alternative, a
// counter service that hands out parts of a fleet-wide total, needs a round trip per placement and
// is unavailable to domains that are partitioned from it. Here each domain decides alone within its
// budget share, and a transfer costs one append to the log.

#include "state/budget_table.h"

namespace monsoonmux {
namespace {

// The share of `limit` of the domain at position `index` among `count` domains. The shares of all
// domains sum to `limit`.
std::int64_t equal_share(std::int64_t limit, std::size_t index, std::size_t count) {
  const auto n = static_cast<std::int64_t>(count);
  return limit / n + (static_cast<std::int64_t>(index) < limit % n ? 1 : 0);
}

resources equal_shares(const resources& limit, std::size_t index, std::size_t count) {
  return {{equal_share(limit.cpu.value, index, count)},
          {equal_share(limit.memory.value, index, count)},
          {equal_share(limit.accelerators.value, index, count)}};
}

}  // namespace

void budget_table::configure(const document& doc, config_version version) {
  std::set<domain_id> new_domains;
  for (const auto& entry : doc.domains) {
    new_domains.insert(entry.first);
  }
  const bool domains_changed = new_domains != this->domains;
  this->domains = new_domains;
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    it = doc.teams.count(it->first) == 0 ? this->entries.erase(it) : std::next(it);
  }
  for (const auto& [team, config] : doc.teams) {
    const auto it = this->entries.find(team);
    if (it != this->entries.end() && !domains_changed && it->second.limit == config.limit.tasks) {
      continue;
    }
    team_entry updated;
    updated.limit = config.limit.tasks;
    updated.last_changed = version;
    std::size_t index = 0;
    for (const domain_id& domain : new_domains) {
      updated.initial_share[domain] = equal_shares(updated.limit, index++, new_domains.size());
    }
    this->entries[team] = updated;
  }
}

void budget_table::restore_limit_versions(const std::vector<team_limit_version>& limits) {
  for (const team_limit_version& limit : limits) {
    if (const auto it = this->entries.find(limit.team); it != this->entries.end()) {
      it->second.last_changed = limit.version;
    }
  }
}

std::vector<team_limit_version> budget_table::limit_versions() const {
  std::vector<team_limit_version> out;
  for (const auto& [team, entry] : this->entries) {
    out.push_back({team, entry.last_changed});
  }
  return out;
}

bool budget_table::fence(const fencing_record& value) {
  epoch& known = this->fence_epochs[value.domain];
  if (value.number < known) {
    return false;
  }
  known = value.number;
  ++this->fence_counts[value.domain];
  return true;
}

bool budget_table::apply(const budget_transfer& transfer) {
  const auto it = this->entries.find(transfer.team);
  if (it == this->entries.end() || it->second.last_changed != transfer.limit_version ||
      transfer.from == transfer.to) {
    return false;
  }
  if (this->domains.count(transfer.from) == 0 || this->domains.count(transfer.to) == 0) {
    return false;
  }
  if (!transfer.refresh && transfer.donor_epoch < this->fence_epoch(transfer.from)) {
    return false;
  }
  resources& total = it->second.given[{transfer.from, transfer.to}];
  const resources increase = transfer.total - total;
  if (increase.negative() || increase.zero()) {
    return false;
  }
  const resources remaining = this->budget_share(transfer.team, transfer.from) - increase;
  if (!transfer.refresh && !this->guaranteed_budget(transfer.team, transfer.from).fits(remaining)) {
    return false;
  }
  total = transfer.total;
  return true;
}

resources budget_table::budget_share(const team_id& team, const domain_id& domain) const {
  const auto it = this->entries.find(team);
  if (it == this->entries.end() || it->second.initial_share.count(domain) == 0) {
    return {};
  }
  resources out = it->second.initial_share.at(domain);
  for (const auto& [path, amount] : it->second.given) {
    if (path.first == domain) {
      out -= amount;
    }
    if (path.second == domain) {
      out += amount;
    }
  }
  return out;
}

resources budget_table::guaranteed_budget(const team_id& team, const domain_id& domain) const {
  const auto it = this->entries.find(team);
  if (it == this->entries.end() || it->second.initial_share.count(domain) == 0) {
    return {};
  }
  const resources& initial_share = it->second.initial_share.at(domain);
  return {initial_share.cpu / 2, initial_share.memory / 2, initial_share.accelerators / 2};
}

config_version budget_table::limit_version(const team_id& team) const {
  const auto it = this->entries.find(team);
  return it == this->entries.end() ? config_version{} : it->second.last_changed;
}

resources budget_table::given(const team_id& team, const domain_id& from,
                              const domain_id& to) const {
  const auto it = this->entries.find(team);
  if (it == this->entries.end()) {
    return {};
  }
  const auto path = it->second.given.find({from, to});
  return path == it->second.given.end() ? resources{} : path->second;
}

epoch budget_table::fence_epoch(const domain_id& domain) const {
  const auto it = this->fence_epochs.find(domain);
  return it == this->fence_epochs.end() ? epoch{} : it->second;
}

std::int64_t budget_table::fence_count(const domain_id& domain) const {
  const auto it = this->fence_counts.find(domain);
  return it == this->fence_counts.end() ? 0 : it->second;
}

std::vector<budget_transfer> budget_table::records() const {
  std::vector<budget_transfer> out;
  for (const auto& [team, entry] : this->entries) {
    for (const auto& [path, total] : entry.given) {
      if (!total.zero()) {
        out.push_back({team, path.first, path.second, total, entry.last_changed,
                       this->fence_epoch(path.first), true});
      }
    }
  }
  return out;
}

}  // namespace monsoonmux
