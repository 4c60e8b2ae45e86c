#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/event.h"
#include "base/ids.h"
#include "base/logical_clock.h"

namespace monsoonmux {

// Writes the events of this process to standard error as JSON lines and keeps the
// newest 20,000 in memory for the time line. Each event has the daemon, its incarnation,
// the wall time, the monotonic time and the logical time. Thread-safe.
class event_recorder final : public event_sink {
 public:
  event_recorder(daemon_id daemon, std::int64_t incarnation, const clock& time,
                 logical_clock& logical)
      : daemon(std::move(daemon)), incarnation(incarnation), time(time), logical(logical) {}

  void emit(std::string_view kind, std::vector<event_field> fields) override;
  // The newest events as JSON objects, oldest first.
  std::vector<std::string> recent() const;

 private:
  static constexpr std::size_t max_recent = 20'000;

  const daemon_id daemon;
  const std::int64_t incarnation;
  const clock& time;
  logical_clock& logical;
  mutable std::mutex lock;
  std::deque<std::string> recent_events;
};

}  // namespace monsoonmux
