#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace monsoonmux::cell {

struct event_log_options {
  // Bytes that may wait for the reader of standard output.
  std::size_t buffer_bytes = 256 * 1024;
};

// Writes one JSON object per line to a descriptor, never blocking: what the
// descriptor does not take waits in a bounded buffer, and what does not fit there
// is dropped and counted. The line after a gap says how many were dropped.
class event_log {
 public:
  event_log(int descriptor, const clock& time, std::string daemon,
            const event_log_options& options = {});
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  // Adds time, daemon and event name to `fields` and writes the line.
  void write(std::string_view event, const nlohmann::ordered_json& fields);
  // Passes waiting bytes on.
  void flush();
  std::int64_t dropped() const { return this->dropped_total; }

 private:
  const int descriptor;
  const clock& time;
  const std::string daemon;
  const event_log_options options;
  std::string buffer;
  std::int64_t dropped_total = 0;
  std::int64_t dropped_unreported = 0;
};

}  // namespace monsoonmux::cell
