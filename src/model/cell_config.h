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
struct advice_terms {
  double decide_ms = 0;      // Per call.
  double per_runner_ms = 0;  // More for each runner that a call names.
  millis valid{0};           // Lifetime of a ticket.
};

// A queue: where its jobs arrive and which runners run their tasks.
struct queue_config {
  queue_id name;
  std::string host;
  std::string path_prefix;
  pool_id service;
  std::int32_t priority = 0;  // 0 comes first.
  std::int32_t max_attempts = 1;
  double stretch = 1;        // Objective as a multiple of the longest chain.
  millis target_latency{0};  // Added to the objective.
  millis timeout{0};         // For one call of a client.
  std::optional<advice_terms> advice;
  bool open = false;  // No key needed.
};

struct service_config {
  pool_id name;
  bool guards_capacity = false;  // Its runners reject what does not fit.
  bool spare = false;            // Its machines are off.
};

struct tenant_config {
  team_id name;
  std::vector<std::string> keys;
  double weight = 1;
  resources limit;  // Running at most; a component of 0 is not limited.
};

// One version of the operators' configuration, complete.
struct cell_config {
  config_version version;
  std::vector<queue_config> queues;
  std::vector<service_config> services;
  std::vector<tenant_config> tenants;

  // The queue whose host matches and whose prefix is the longest that `path`
  // begins with; null if there is none.
  const queue_config* match(std::string_view host, std::string_view path) const;
  const queue_config* find_queue(const queue_id& name) const;
  const service_config* find_service(const pool_id& name) const;
  const tenant_config* find_tenant(const team_id& name) const;
  // The tenant that holds the key; null if nobody does.
  const tenant_config* tenant_of_key(std::string_view key) const;
};

}  // namespace monsoonmux::cell
