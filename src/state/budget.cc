// Divides upper limits by a rule that is a pure function of the log prefix. What
// one domain gave another is a total that only grows, so records may be repeated
// and the state stays within domains squared per team. The obvious way, a counter service that
// grants from a fleet-wide total, needs a round trip per placement and stops when domains are cut
// off; here each domain decides alone within its allotment, and a transfer costs one append.

#include "state/budget.h"

namespace monsoonmux {
namespace {

// The part of `limit` for the domain at `index` of `count`; parts sum to it.
std::int64_t even_part(std::int64_t limit, std::size_t index, std::size_t count) {
  const auto n = static_cast<std::int64_t>(count);
  return limit / n + (static_cast<std::int64_t>(index) < limit % n ? 1 : 0);
}

resources even_parts(const resources& limit, std::size_t index, std::size_t count) {
  return {{even_part(limit.cpu.value, index, count)},
          {even_part(limit.memory.value, index, count)},
          {even_part(limit.accelerators.value, index, count)}};
}

}  // namespace

void budget_book::configure(const document& doc, config_version version) {
  std::set<domain_id> now;
  for (const auto& entry : doc.domains) {
    now.insert(entry.first);
  }
  const bool regrouped = now != this->domains;
  this->domains = now;
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    it = doc.teams.count(it->first) == 0 ? this->entries.erase(it) : std::next(it);
  }
  for (const auto& [team, config] : doc.teams) {
    const auto it = this->entries.find(team);
    if (it != this->entries.end() && !regrouped && it->second.limit == config.limit.tasks) {
      continue;
    }
    team_entry fresh;
    fresh.limit = config.limit.tasks;
    fresh.since = version;
    std::size_t index = 0;
    for (const domain_id& domain : now) {
      fresh.even[domain] = even_parts(fresh.limit, index++, now.size());
    }
    this->entries[team] = fresh;
  }
}

void budget_book::restore_since(const std::vector<limit_since>& limits) {
  for (const limit_since& limit : limits) {
    if (const auto it = this->entries.find(limit.team); it != this->entries.end()) {
      it->second.since = limit.version;
    }
  }
}

std::vector<limit_since> budget_book::limit_versions() const {
  std::vector<limit_since> out;
  for (const auto& [team, entry] : this->entries) {
    out.push_back({team, entry.since});
  }
  return out;
}

bool budget_book::fence(const placer_fence& value) {
  epoch& known = this->fences[value.domain];
  if (value.number < known) {
    return false;
  }
  known = value.number;
  ++this->fence_counts[value.domain];
  return true;
}

bool budget_book::apply(const budget_transfer& transfer) {
  const auto it = this->entries.find(transfer.team);
  if (it == this->entries.end() || it->second.since != transfer.limit_version ||
      transfer.from == transfer.to) {
    return false;
  }
  if (this->domains.count(transfer.from) == 0 || this->domains.count(transfer.to) == 0) {
    return false;
  }
  if (!transfer.refresh && transfer.donor_epoch < this->fence_of(transfer.from)) {
    return false;
  }
  resources& total = it->second.given[{transfer.from, transfer.to}];
  const resources more = transfer.total - total;
  if (more.negative() || more.zero()) {
    return false;
  }
  const resources left = this->allotment(transfer.team, transfer.from) - more;
  if (!transfer.refresh && !this->floor(transfer.team, transfer.from).fits(left)) {
    return false;
  }
  total = transfer.total;
  return true;
}

resources budget_book::allotment(const team_id& team, const domain_id& domain) const {
  const auto it = this->entries.find(team);
  if (it == this->entries.end() || it->second.even.count(domain) == 0) {
    return {};
  }
  resources out = it->second.even.at(domain);
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

resources budget_book::floor(const team_id& team, const domain_id& domain) const {
  const auto it = this->entries.find(team);
  if (it == this->entries.end() || it->second.even.count(domain) == 0) {
    return {};
  }
  const resources& even = it->second.even.at(domain);
  return {even.cpu / 2, even.memory / 2, even.accelerators / 2};
}

config_version budget_book::limit_version(const team_id& team) const {
  const auto it = this->entries.find(team);
  return it == this->entries.end() ? config_version{} : it->second.since;
}

resources budget_book::given(const team_id& team, const domain_id& from,
                             const domain_id& to) const {
  const auto it = this->entries.find(team);
  if (it == this->entries.end()) {
    return {};
  }
  const auto path = it->second.given.find({from, to});
  return path == it->second.given.end() ? resources{} : path->second;
}

epoch budget_book::fence_of(const domain_id& domain) const {
  const auto it = this->fences.find(domain);
  return it == this->fences.end() ? epoch{} : it->second;
}

std::int64_t budget_book::fence_count(const domain_id& domain) const {
  const auto it = this->fence_counts.find(domain);
  return it == this->fence_counts.end() ? 0 : it->second;
}

std::vector<budget_transfer> budget_book::records() const {
  std::vector<budget_transfer> out;
  for (const auto& [team, entry] : this->entries) {
    for (const auto& [path, total] : entry.given) {
      if (!total.zero()) {
        out.push_back(
            {team, path.first, path.second, total, entry.since, this->fence_of(path.first), true});
      }
    }
  }
  return out;
}

}  // namespace monsoonmux
