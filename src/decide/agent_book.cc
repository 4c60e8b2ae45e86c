#include "decide/agent_book.h"

#include <algorithm>

namespace monsoonmux::cell {

void agent_book::heard(const std::string& daemon, const domain_id& domain, double relative_capacity,
                       instant now) {
  agent& a = this->agents[daemon];
  a.domain = domain;
  a.relative_capacity = relative_capacity;
  a.heard = now;
}

void agent_book::broke(const std::string& daemon, instant now) {
  this->agents[daemon].avoid_until = now + this->options.avoid_for;
}

void agent_book::unanswered(const std::string& runner, instant now) {
  const auto it = this->runners.find(runner);
  if (it != this->runners.end()) {
    it->second.direct_until = now + this->options.direct_for;
  }
}

void agent_book::runner_listed(const std::string& runner, const domain_id& domain) {
  this->runners[runner].domain = domain;
}

void agent_book::runner_gone(const std::string& runner) {
  const auto it = this->runners.find(runner);
  if (it != this->runners.end()) {
    this->release(it->second);
    this->runners.erase(it);
  }
}

void agent_book::release(carried_runner& runner) {
  if (!runner.agent.empty()) {
    --this->agents[runner.agent].carried;
    runner.agent.clear();
  }
}

bool agent_book::usable(const agent& a, instant now) const {
  return now - a.heard < this->options.silence && a.avoid_until <= now;
}

double agent_book::strongest(instant now) const {
  double out = 0;
  for (const auto& [daemon, a] : this->agents) {
    out = this->usable(a, now) ? std::max(out, a.relative_capacity) : out;
  }
  return out;
}

std::string agent_book::choose(const domain_id& domain, instant now) const {
  const double least = this->strongest(now) * this->options.weakest_part;
  std::string best;
  double best_load = 0;
  for (const auto& [daemon, a] : this->agents) {
    if (!this->usable(a, now) || a.relative_capacity <= 0 || a.relative_capacity < least) {
      continue;
    }
    const double far = a.domain == domain ? 1 : this->options.far_weight;
    const double load = far * static_cast<double>(a.carried + 1) / a.relative_capacity;
    if (best.empty() || load < best_load) {
      best = daemon;
      best_load = load;
    }
  }
  return best;
}

std::optional<std::string> agent_book::agent_of(const std::string& runner, instant now) {
  const auto it = this->runners.find(runner);
  if (this->runners.size() <= this->options.direct_runners || it == this->runners.end()) {
    return std::nullopt;
  }
  carried_runner& carried = it->second;
  if (now < carried.direct_until) {
    return std::nullopt;
  }
  if (!carried.agent.empty() && this->usable(this->agents[carried.agent], now)) {
    return carried.agent;
  }
  this->release(carried);
  carried.agent = this->choose(carried.domain, now);
  if (carried.agent.empty()) {
    return std::nullopt;
  }
  ++this->agents[carried.agent].carried;
  return carried.agent;
}

std::size_t agent_book::carried_by(const std::string& daemon) const {
  const auto it = this->agents.find(daemon);
  return it == this->agents.end() ? 0 : it->second.carried;
}

}  // namespace monsoonmux::cell
