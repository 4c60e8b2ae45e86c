#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "base/clock.h"

namespace monsoonmux::cell {

// The sending direction of one daemon's network link. Messages leave in the order in which
// they were sent, one after the other.
class fake_uplink {
 public:
  explicit fake_uplink(const clock& time) : time(time) {}

  double bytes_per_ms = 0;  // 0: unlimited.

  // How long it takes until the message has left the host.
  millis transmit(std::size_t bytes) {
    if (this->bytes_per_ms <= 0) {
      return millis{0};
    }
    constexpr std::size_t headers = 40;
    const auto now = static_cast<double>(this->time.now().value);
    this->idle_at =
        std::max(this->idle_at, now) + static_cast<double>(bytes + headers) / this->bytes_per_ms;
    return millis{static_cast<std::int64_t>(std::ceil(this->idle_at - now))};
  }

 private:
  const clock& time;
  double idle_at = 0;
};

}  // namespace monsoonmux::cell
