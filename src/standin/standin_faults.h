#pragma once

#include <atomic>
#include <cstdint>

namespace monsoonmux {

// Faults that the stand-in injects. They are set over HTTP: POST /faults/NAME?value=N.
struct standin_faults {
  std::atomic<std::int64_t> log_down{0};     // Not 0: every request to the log fails.
  std::atomic<std::int64_t> log_slow_ms{0};  // Delay of each request to the log.
  // Not 0: appends take effect but are answered with an error.
  std::atomic<std::int64_t> log_lose_answers{0};
  std::atomic<std::int64_t> list_lag_ms{0};     // Age up to which a cached host list is served.
  std::atomic<std::int64_t> runner_slow_ms{0};  // Added to the duration of each call.
};

}  // namespace monsoonmux
