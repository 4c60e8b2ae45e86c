#pragma once

#include <cstdint>

#include "base/quantity.h"

namespace monsoonmux::cell {

// Runners' clocks may be 2% slow; a little more is allowed for.
constexpr double max_clock_drift = 1.03;

// Longest real time that a span on a runner's clock may take.
inline millis longest_real_time(millis on_runner) {
  return millis{static_cast<std::int64_t>(static_cast<double>(on_runner.value) * max_clock_drift)};
}

// Shortest time that a runner's clock may show to have passed in a real span.
inline millis shortest_runner_time(millis real) {
  return millis{static_cast<std::int64_t>(static_cast<double>(real.value) / max_clock_drift)};
}

}  // namespace monsoonmux::cell
