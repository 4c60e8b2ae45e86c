#pragma once

#include "daemon/node_core.h"
#include "http/http_message.h"

namespace monsoonmux {

// Who is behind a request, by its Authorization header.
struct caller_identity {
  config_ptr config;
  team_id team;  // Empty without a valid key.
  bool operator_key = false;
  bool key_given = false;
};

caller_identity identify(const http_request& request, node_core& core);

// The team to charge for using the queue, or why it may not be used:
// unauthorized without a valid key, forbidden for another team's queue.
result<team_id> authorized_team(const caller_identity& caller, const queue_config& queue);

}  // namespace monsoonmux
