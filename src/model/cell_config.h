#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/quantity.h"
#include "base/resources.h"

namespace monsoonmux::cell {

// How long a call to the advice service takes, and how long its tickets are valid.
struct advice_config {
  double per_call_ms = 0;    // Fixed part of a call's duration.
  double per_runner_ms = 0;  // Added for each runner that a call names.
  millis ticket_lifetime{0};
};

// A queue: the host and path to which its jobs are submitted, and the pool whose runners
// run their tasks.
struct queue_config {
  queue_id name;
  std::string host;
  std::string path_prefix;
  pool_id pool;
  std::int32_t priority = 0;  // 0 is the highest.
  std::int32_t max_attempts = 1;
  double stretch = 1;        // Factor of the job's critical path in its objective.
  millis target_latency{0};  // Added to that product to give the objective.
  millis timeout{0};         // Of one call of a client.
  std::optional<advice_config> advice;
  bool open = false;  // Callers need no key.
};

// A pool of runners; each queue names the pool whose runners run its tasks.
struct pool_config {
  pool_id name;
  bool rejects_overload = false;  // Its runners reject tasks that exceed their free capacity.
  bool spare = false;             // Its hosts are powered off.
};

struct team_config {
  team_id name;
  std::vector<std::string> keys;
  double weight = 1;
  resources limit;  // Most that may run at once; a component of 0 is unlimited.
};

// One complete version of the operators' configuration.
struct cell_config {
  config_version version;
  std::vector<queue_config> queues;
  std::vector<pool_config> pools;
  std::vector<team_config> teams;

  // The queue of this host whose prefix is the longest one that `path` begins with; null
  // if there is none.
  const queue_config* match(std::string_view host, std::string_view path) const;
  const queue_config* find_queue(const queue_id& name) const;
  const pool_config* find_pool(const pool_id& name) const;
  const team_config* find_team(const team_id& name) const;
  // The team that has the key; null if there is none.
  const team_config* team_of_key(std::string_view key) const;
};

}  // namespace monsoonmux::cell
