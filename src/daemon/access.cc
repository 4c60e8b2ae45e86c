#include "daemon/access.h"

namespace monsoonmux {
namespace {

const std::string bearer = "Bearer ";

}  // namespace

access identify(const http_request& request, node_core& core) {
  access out;
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

result<team_id> team_for(const access& who, const queue_config& queue) {
  if (queue.open && who.team.empty()) {
    return queue.open_team;
  }
  if (who.team.empty()) {
    return not_run(error_code::unauthorized,
                   who.key_given ? "the key is not valid (any more)" : "a key is needed");
  }
  if (!queue.teams.empty() && queue.teams.count(who.team) == 0) {
    return not_run(error_code::forbidden,
                   "the queue is not open to team \"" + who.team.text + "\"");
  }
  return who.team;
}

}  // namespace monsoonmux
