#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace monsoonmux::cell {

struct event_log_options {
  // Most bytes that are buffered while the reader of the descriptor is slow.
  std::size_t buffer_bytes = 256 * 1024;
};

// Writes one JSON object per line to a descriptor without ever blocking. Bytes that the
// descriptor does not accept are kept in a bounded buffer; lines that do not fit there are
// dropped and counted. The next line written gives the number of lines dropped before it.
class event_log {
 public:
  event_log(int descriptor, const clock& time, std::string daemon,
            const event_log_options& options = {});
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  // Adds time, daemon and event name to `fields` and writes the line.
  void write(std::string_view event, const nlohmann::ordered_json& fields);
  // Writes as many buffered bytes as the descriptor accepts.
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
