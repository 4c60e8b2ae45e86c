#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/quantity.h"
#include "base/resources.h"

namespace monsoonmux::cell {

// What a decision of the advice service costs, and how long it holds.
struct advice_config {
  double per_call_ms = 0;     // Per call.
  double per_runner_ms = 0;   // More for each runner that a call names.
  millis ticket_lifetime{0};  // Lifetime of a ticket.
};

// A queue: where its jobs arrive and which runners run their tasks.
struct queue_config {
  queue_id name;
  std::string host;
  std::string path_prefix;
  pool_id pool;
  std::int32_t priority = 0;  // 0 comes first.
  std::int32_t max_attempts = 1;
  double stretch = 1;        // Objective as a multiple of the longest chain.
  millis target_latency{0};  // Added to the objective.
  millis timeout{0};         // For one call of a client.
  std::optional<advice_config> advice;
  bool open = false;  // No key needed.
};

struct pool_config {
  pool_id name;
  bool rejects_overload = false;  // Its runners reject what does not fit.
  bool spare = false;             // Its machines are off.
};

struct team_config {
  team_id name;
  std::vector<std::string> keys;
  double weight = 1;
  resources limit;  // Running at most; a component of 0 is not limited.
};

// One version of the operators' configuration, complete.
struct cell_config {
  config_version version;
  std::vector<queue_config> queues;
  std::vector<pool_config> pools;
  std::vector<team_config> teams;

  // The queue whose host matches and whose prefix is the longest that `path`
  // begins with; null if there is none.
  const queue_config* match(std::string_view host, std::string_view path) const;
  const queue_config* find_queue(const queue_id& name) const;
  const pool_config* find_pool(const pool_id& name) const;
  const team_config* find_team(const team_id& name) const;
  // The tenant that holds the key; null if nobody does.
  const team_config* team_of_key(std::string_view key) const;
};

}  // namespace monsoonmux::cell
