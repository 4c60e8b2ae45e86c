#pragma once

#include "daemon/node_core.h"
#include "http/http_message.h"

namespace monsoonmux {

// Who is behind a request, by its Authorization header.
struct access {
  config_ptr config;
  team_id team;  // Empty without a valid key.
  bool operator_key = false;
  bool key_given = false;
};

access identify(const http_request& request, node_core& core);

// The team to charge for using the queue, or why it may not be used:
// unauthorized without a valid key, forbidden for another team's queue.
result<team_id> team_for(const access& who, const queue_config& queue);

}  // namespace monsoonmux
