#pragma once

#include <algorithm>

#include "base/ids.h"

namespace monsoonmux {

// Resources that a host provides to its daemon.
struct host_limits {
  double cores = 0.25;       // Processor time per second of real time.
  double link_mbps = 1'000;  // Bandwidth of the host's network link.

  // Share of the control plane's work that the host can carry, from 0 (none) to 1 (the
  // largest load that a single daemon may have). The factors for processor and network
  // are multiplied, so that the scarcer resource decides.
  double relative_capacity() const {
    constexpr double ample_cores = 0.5;
    constexpr double ample_link_mbps = 100;
    const double processor = std::clamp(this->cores / ample_cores, 0.0, 1.0);
    const double link = std::clamp(this->link_mbps / ample_link_mbps, 0.0, 1.0);
    return processor * link;
  }
};

}  // namespace monsoonmux
