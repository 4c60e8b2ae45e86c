#include "decide/agent_table.h"

#include <algorithm>

namespace monsoonmux::cell {

void agent_table::on_hello(const std::string& daemon, const domain_id& domain,
                           double relative_capacity, instant now) {
  agent& a = this->agents[daemon];
  a.domain = domain;
  a.relative_capacity = relative_capacity;
  a.last_hello = now;
}

void agent_table::connection_lost(const std::string& daemon, instant now) {
  this->agents[daemon].avoid_until = now + this->options.avoid_disconnected_for;
}

void agent_table::command_unanswered(const std::string& runner, instant now) {
  const auto it = this->runners.find(runner);
  if (it != this->runners.end()) {
    it->second.direct_until = now + this->options.direct_after_unanswered;
  }
}

void agent_table::runner_listed(const std::string& runner, const domain_id& domain) {
  this->runners[runner].domain = domain;
}

void agent_table::runner_removed(const std::string& runner) {
  const auto it = this->runners.find(runner);
  if (it != this->runners.end()) {
    this->release(it->second);
    this->runners.erase(it);
  }
}

void agent_table::release(assigned_runner& runner) {
  if (!runner.agent.empty()) {
    --this->agents[runner.agent].runner_count;
    runner.agent.clear();
  }
}

bool agent_table::usable(const agent& a, instant now) const {
  return now - a.last_hello < this->options.heartbeat_timeout && a.avoid_until <= now;
}

double agent_table::highest_capacity(instant now) const {
  double out = 0;
  for (const auto& [daemon, a] : this->agents) {
    out = this->usable(a, now) ? std::max(out, a.relative_capacity) : out;
  }
  return out;
}

std::string agent_table::choose(const domain_id& domain, instant now) const {
  const double min_capacity = this->highest_capacity(now) * this->options.min_relative_capacity;
  std::string best;
  double best_load = 0;
  for (const auto& [daemon, a] : this->agents) {
    if (!this->usable(a, now) || a.relative_capacity <= 0 || a.relative_capacity < min_capacity) {
      continue;
    }
    const double domain_factor = a.domain == domain ? 1 : this->options.remote_domain_factor;
    const double load =
        domain_factor * static_cast<double>(a.runner_count + 1) / a.relative_capacity;
    if (best.empty() || load < best_load) {
      best = daemon;
      best_load = load;
    }
  }
  return best;
}

std::optional<std::string> agent_table::agent_of(const std::string& runner, instant now) {
  const auto it = this->runners.find(runner);
  if (this->runners.size() <= this->options.max_direct_runners || it == this->runners.end()) {
    return std::nullopt;
  }
  assigned_runner& entry = it->second;
  if (now < entry.direct_until) {
    return std::nullopt;
  }
  if (!entry.agent.empty() && this->usable(this->agents[entry.agent], now)) {
    return entry.agent;
  }
  this->release(entry);
  entry.agent = this->choose(entry.domain, now);
  if (entry.agent.empty()) {
    return std::nullopt;
  }
  ++this->agents[entry.agent].runner_count;
  return entry.agent;
}

std::size_t agent_table::assigned_count(const std::string& daemon) const {
  const auto it = this->agents.find(daemon);
  return it == this->agents.end() ? 0 : it->second.runner_count;
}

}  // namespace monsoonmux::cell
