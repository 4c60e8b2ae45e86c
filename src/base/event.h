#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonmux {

// One field of a timeline event, such as {"task", "render-7/0"}.
struct event_field {
  std::string name;
  std::string value;
};

// Receives the events of one process. Implementations add the time, the process
// and its incarnation to each event. emit() may be called from any thread.
class event_sink {
 public:
  virtual ~event_sink() = default;
  virtual void emit(std::string_view kind, std::vector<event_field> fields) = 0;
};

// Drops all events.
class null_event_sink final : public event_sink {
 public:
  void emit(std::string_view, std::vector<event_field>) override {}
};

}  // namespace monsoonmux
