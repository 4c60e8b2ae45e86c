#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"

namespace monsoonmux::cell {

struct agent_options {
  // An owner of so many runners or fewer speaks to them itself.
  std::size_t max_direct_runners = 64;
  // A daemon that was not heard for this long carries no runner.
  millis heartbeat_timeout{1'500};
  // After its connection broke a daemon carries none for this long.
  millis avoid_disconnected_for{3'000};
  // After an order that an agent did not bring an answer to, the owner speaks to that
  // runner itself for this long: the fault may be the agent's or the runner's.
  millis direct_after_unanswered{2'000};
  // Hosts with less than this part of the strongest one's strength carry none.
  double min_relative_capacity = 0.1;
  // A daemon of another zone counts as so much fuller: its bytes to the runner are dear.
  double remote_domain_factor = 2;
};

// Which daemon carries an owner's orders to which runner.
//
// Answers the load of hundreds of runners, whose calls are more than the owner's host
// can do beside its decisions. A runner stays with its agent while that is there;
// otherwise it goes to the one that is least full for the strength of its host.
class agent_table {
 public:
  explicit agent_table(const agent_options& options = {}) : options(options) {}

  void on_hello(const std::string& daemon, const domain_id& domain, double relative_capacity,
                instant now);
  // The connection to the daemon broke: its runners go to others.
  void connection_lost(const std::string& daemon, instant now);
  // An order to the runner, through its agent, got no answer.
  void command_unanswered(const std::string& runner, instant now);
  void runner_listed(const std::string& runner, const domain_id& domain);
  void runner_removed(const std::string& runner);
  // Nothing: the owner speaks to the runner itself.
  std::optional<std::string> agent_of(const std::string& runner, instant now);
  std::size_t assigned_count(const std::string& daemon) const;

 private:
  struct agent {
    domain_id domain;
    double relative_capacity = 0;
    instant last_hello{0};
    instant avoid_until{0};
    std::size_t runner_count = 0;
  };
  struct assigned_runner {
    domain_id domain;
    std::string agent;  // Empty: none was chosen yet.
    instant direct_until{0};
  };

  bool usable(const agent& a, instant now) const;
  double highest_capacity(instant now) const;
  std::string choose(const domain_id& domain, instant now) const;
  void release(assigned_runner& runner);

  const agent_options options;
  std::map<std::string, agent> agents;
  std::unordered_map<std::string, assigned_runner> runners;
};

}  // namespace monsoonmux::cell
