#pragma once

#include <cstdint>

#include "base/quantity.h"

namespace monsoonmux::cell {

// Runners' clocks may be 2% slow. The factor includes a margin.
constexpr double clock_drift_factor = 1.03;

// No runner's clock is faster than this, measured on ours.
constexpr double fast_clock_factor = 1.001;

// The longest real time that may pass during a span on a runner's clock.
inline millis longest_real_time(millis on_runner) {
  return millis{
      static_cast<std::int64_t>(static_cast<double>(on_runner.value) * clock_drift_factor)};
}

// The shortest time that may pass on a runner's clock during a span of real time.
inline millis shortest_runner_time(millis real) {
  return millis{static_cast<std::int64_t>(static_cast<double>(real.value) / clock_drift_factor)};
}

// The longest time that may pass on a runner's clock during a span of real time.
inline millis longest_time_by_fast_clock(millis real) {
  return millis{static_cast<std::int64_t>(static_cast<double>(real.value) * fast_clock_factor)};
}

// The shortest real time that may pass during a span on a runner's clock.
inline millis shortest_time_by_fast_clock(millis on_runner) {
  return millis{
      static_cast<std::int64_t>(static_cast<double>(on_runner.value) / fast_clock_factor)};
}

}  // namespace monsoonmux::cell
