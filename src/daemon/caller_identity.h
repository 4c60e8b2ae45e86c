#pragma once

#include "daemon/node_core.h"
#include "http/http_message.h"

namespace monsoonmux {

// The sender of a request, as identified by the Authorization header, and the
// configuration that the key was checked against.
struct caller_identity {
  config_ptr config;
  team_id team;  // Empty without a valid key.
  bool operator_key = false;
  bool key_given = false;
};

caller_identity identify(const http_request& request, node_core& core);

// The team that is charged for using the queue. Fails with unauthorized if a key is
// needed and there is no valid one, and with forbidden if the queue does not admit the
// caller's team.
result<team_id> authorized_team(const caller_identity& caller, const queue_config& queue);

}  // namespace monsoonmux
