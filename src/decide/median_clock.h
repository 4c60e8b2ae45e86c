#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace monsoonmux::cell {

// The time of day that most daemons agree on.
//
// The time of day of single hosts may jump, forward or back; what is due at a time has
// to be due neither early nor twice then. Each peer says its own now and then, and the
// median of what was heard lately and of this host's own counts.
class median_clock {
 public:
  void add_sample(const std::string& daemon, std::int64_t wall_ms, instant now);
  // Unix time in ms, if this host's own clock says `own_wall_ms`.
  std::int64_t at(instant now, std::int64_t own_wall_ms) const;

 private:
  struct clock_sample {
    std::int64_t ahead_ms = 0;  // Of the clock that measures durations.
    instant received_at;
  };
  std::map<std::string, clock_sample> samples;
};

}  // namespace monsoonmux::cell
