#pragma once

#include <algorithm>

#include "base/ids.h"

namespace monsoonmux {

// What the host of a daemon has for it.
struct host_limits {
  double cores = 0.25;       // Processor time per second of real time.
  double link_mbps = 1'000;  // Its own network link.

  // How much of the control plane's work the host can carry, from 0 (none) to 1 (all
  // that one daemon may have to do). The scarcer of the two decides, so they multiply.
  double relative_capacity() const {
    constexpr double ample_cores = 0.5;
    constexpr double ample_link_mbps = 100;
    const double processor = std::clamp(this->cores / ample_cores, 0.0, 1.0);
    const double link = std::clamp(this->link_mbps / ample_link_mbps, 0.0, 1.0);
    return processor * link;
  }
};

}  // namespace monsoonmux
