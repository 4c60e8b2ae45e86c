#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "base/quantity.h"

namespace monsoonmux::cell {

// Counts durations in fixed buckets, for the metrics endpoint.
class latency_histogram {
 public:
  void observe(millis duration);
  // Appends the histogram in the Prometheus text format.
  void append_text(const std::string& name, std::string& out) const;

 private:
  // Upper bounds in ms; one more bucket counts all longer durations.
  static constexpr std::array<std::int64_t, 12> bounds = {1,   2,   5,     10,    20,    50,
                                                          100, 250, 1'000, 2'500, 5'000, 15'000};
  std::array<std::int64_t, bounds.size() + 1> counts{};
  std::int64_t sum_ms = 0;
};

}  // namespace monsoonmux::cell
