#pragma once

#include <atomic>
#include <cstdint>

namespace monsoonmux {

// Fault switches of the stand-in, set over HTTP: POST /faults/NAME?value=N.
struct standin_faults {
  std::atomic<std::int64_t> log_down{0};
  std::atomic<std::int64_t> log_slow_ms{0};
  std::atomic<std::int64_t> log_lose_answers{0};
  std::atomic<std::int64_t> list_lag_ms{0};
  std::atomic<std::int64_t> runner_slow_ms{0};
};

}  // namespace monsoonmux
