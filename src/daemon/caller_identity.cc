#include "daemon/caller_identity.h"

namespace monsoonmux {
namespace {

const std::string bearer = "Bearer ";

}  // namespace

caller_identity identify(const http_request& request, node_core& core) {
  caller_identity out;
  out.config = core.state.config();
  const std::string header = request.header("Authorization");
  if (header.rfind(bearer, 0) != 0) {
    return out;
  }
  out.key_given = true;
  const std::string key = header.substr(bearer.size());
  out.operator_key = equal_secrets(hash_key(key), core.config.operator_key_hash);
  if (const auto team = out.config->keys.find(key, core.time.wall_ms())) {
    out.team = *team;
  }
  return out;
}

result<team_id> authorized_team(const caller_identity& caller, const queue_config& queue) {
  if (queue.open && caller.team.empty()) {
    return queue.open_team;
  }
  if (caller.team.empty()) {
    return not_run(error_code::unauthorized,
                   caller.key_given ? "the key is not valid (any more)" : "a key is needed");
  }
  if (!queue.teams.empty() && queue.teams.count(caller.team) == 0) {
    return not_run(error_code::forbidden,
                   "the queue is not open to team \"" + caller.team.text + "\"");
  }
  return caller.team;
}

}  // namespace monsoonmux
