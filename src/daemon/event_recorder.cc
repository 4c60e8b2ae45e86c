#include "daemon/event_recorder.h"

#include <nlohmann/json.hpp>

#include "daemon/json_log.h"

namespace monsoonmux {

void event_recorder::emit(std::string_view kind, std::vector<event_field> fields) {
  nlohmann::ordered_json line;
  line["wall_ms"] = this->time.wall_ms();
  line["mono_ms"] = this->time.now().value;
  line["logical"] = this->logical.next();
  line["daemon"] = this->daemon.text;
  line["incarnation"] = this->incarnation;
  line["event"] = kind;
  for (const event_field& f : fields) {
    line[f.name] = f.value;
  }
  std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  log_event(text);
  const std::lock_guard guard(this->lock);
  this->recent_events.push_back(std::move(text));
  if (this->recent_events.size() > max_recent) {
    this->recent_events.pop_front();
  }
}

std::vector<std::string> event_recorder::recent() const {
  const std::lock_guard guard(this->lock);
  return {this->recent_events.begin(), this->recent_events.end()};
}

}  // namespace monsoonmux
