#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace monsoonmux::cell {

// Wall clock that most daemons agree on.
//
// The wall clock of a single host may jump forward or back, and a timed job must start
// neither early nor twice because of that. Every peer periodically sends its wall clock;
// this clock is the median of the recent samples and of this host's own clock.
class median_clock {
 public:
  void add_sample(const std::string& daemon, std::int64_t wall_ms, instant now);
  // Returns Unix time in ms. `own_wall_ms`: this host's own wall clock at `now`.
  std::int64_t at(instant now, std::int64_t own_wall_ms) const;

 private:
  struct clock_sample {
    std::int64_t offset_ms = 0;  // Wall clock minus this host's monotonic clock.
    instant received_at;
  };
  std::map<std::string, clock_sample> samples;
};

}  // namespace monsoonmux::cell
