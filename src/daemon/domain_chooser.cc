#include "daemon/domain_chooser.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace monsoonmux {
namespace {

// The number of tasks of `per_task` that fit in `capacity`.
double tasks_that_fit(const resources& capacity, const resources& per_task) {
  double n = 1e9;
  const auto bound = [&n](std::int64_t have, std::int64_t need) {
    if (need > 0) {
      n = std::min(
          n, static_cast<double>(std::max<std::int64_t>(have, 0)) / static_cast<double>(need));
    }
  };
  bound(capacity.cpu.value, per_task.cpu.value);
  bound(capacity.memory.value, per_task.memory.value);
  bound(capacity.accelerators.value, per_task.accelerators.value);
  return n;
}

}  // namespace

std::vector<domain_chooser::domain_capacity> domain_chooser::capacities(
    const job_spec& spec) const {
  std::map<domain_id, domain_capacity> found;
  for (const worker_host& worker : this->hosts.workers) {
    const auto slots = static_cast<std::int64_t>(tasks_that_fit(worker.total, spec.per_task));
    if (worker.pool == spec.pool && slots > 0) {
      found[worker.domain].domain = worker.domain;
      found[worker.domain].slots += slots;
    }
  }
  for (const member& m : this->alive) {
    for (const placement_info& p : m.last_heartbeat.placing) {
      if (const auto it = found.find(p.domain); it != found.end() && p.ready) {
        it->second.has_leader = true;
        it->second.free = tasks_that_fit(p.free, spec.per_task);
        it->second.waiting = p.waiting;
      }
    }
  }
  std::vector<domain_capacity> out;
  out.reserve(found.size());
  for (const auto& [domain, capacity] : found) {
    out.push_back(capacity);
  }
  // Order of preference: a live placer, no waiting tasks, the most free capacity, the
  // fewest waiting tasks, and then a hash of job and domain, which spreads the jobs over
  // domains that are otherwise equal.
  const std::size_t tie_seed = std::hash<job_id>{}(spec.id);
  const auto tie = [tie_seed](const domain_capacity& c) {
    return std::hash<std::string>{}(c.domain.text) ^ tie_seed;
  };
  const auto task_count = static_cast<double>(spec.tasks);
  std::sort(out.begin(), out.end(), [&](const domain_capacity& a, const domain_capacity& b) {
    return std::make_tuple(!a.has_leader, a.waiting > 0, -std::min(a.free, task_count), a.waiting,
                           tie(a)) < std::make_tuple(!b.has_leader, b.waiting > 0,
                                                     -std::min(b.free, task_count), b.waiting,
                                                     tie(b));
  });
  return out;
}

result<std::vector<job_part>> domain_chooser::choose(const job_spec& spec) const {
  std::vector<domain_capacity> domains = this->capacities(spec);
  if (spec.kind == work_kind::gang) {
    std::erase_if(domains, [&](const domain_capacity& c) { return c.slots < spec.tasks; });
  }
  if (domains.empty()) {
    return not_run(error_code::unsatisfiable,
                   "no failure domain has workers for this in pool \"" + spec.pool.text + "\"");
  }
  if (spec.kind != work_kind::service) {
    return std::vector<job_part>{{domains.front().domain, 0, spec.tasks}};
  }
  std::vector<job_part> parts;
  std::int32_t first = 0;
  const auto count = static_cast<std::int32_t>(domains.size());
  for (std::int32_t i = 0; i < count; ++i) {
    const std::int32_t n = spec.tasks / count + (i < spec.tasks % count ? 1 : 0);
    if (n > 0) {
      parts.push_back({domains[static_cast<std::size_t>(i)].domain, first, n});
      first += n;
    }
  }
  return parts;
}

}  // namespace monsoonmux
