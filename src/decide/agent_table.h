#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"

namespace monsoonmux::cell {

struct agent_options {
  // A leader of at most this many runners calls them directly, without agents.
  std::size_t max_direct_runners = 64;
  // A daemon whose last hello message is older than this is not used as an agent.
  millis heartbeat_timeout{1'500};
  // After its connection is lost a daemon is not used as an agent for this long.
  millis avoid_disconnected_for{3'000};
  // After a command through an agent got no answer, the leader calls that runner
  // directly for this long: the fault may be the agent's or the runner's.
  millis direct_after_unanswered{2'000};
  // Daemons whose relative capacity is below this fraction of the highest one are not
  // used as agents.
  double min_relative_capacity = 0.1;
  // Multiplies the load of a daemon in another failure domain than the runner, since
  // traffic between failure domains is expensive.
  double remote_domain_factor = 2;
};

// Assigns runners to agents: daemons that forward the leader's commands to them.
//
// Meant for hundreds of runners, whose calls are more than the leader's host can
// make while it also plans. A runner keeps its agent while that is usable; otherwise
// it is assigned to the agent with the fewest runners per relative capacity of its host.
class agent_table {
 public:
  explicit agent_table(const agent_options& options = {}) : options(options) {}

  void on_hello(const std::string& daemon, const domain_id& domain, double relative_capacity,
                instant now);
  // Reassigns the runners of the daemon, whose connection is lost, when they are next
  // looked up.
  void connection_lost(const std::string& daemon, instant now);
  // Called when a command to the runner, sent through its agent, got no answer.
  void command_unanswered(const std::string& runner, instant now);
  void runner_listed(const std::string& runner, const domain_id& domain);
  void runner_removed(const std::string& runner);
  // Returns the runner's agent, and assigns one first if the runner has none that is
  // usable; nothing if the leader calls the runner directly.
  std::optional<std::string> agent_of(const std::string& runner, instant now);
  // Number of runners that are assigned to the daemon.
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
    std::string agent;  // Empty if none is assigned.
    instant direct_until{0};
  };

  bool usable(const agent& a, instant now) const;
  // The highest relative capacity among usable agents.
  double highest_capacity(instant now) const;
  std::string choose(const domain_id& domain, instant now) const;
  void release(assigned_runner& runner);

  const agent_options options;
  std::map<std::string, agent> agents;
  std::unordered_map<std::string, assigned_runner> runners;
};

}  // namespace monsoonmux::cell
