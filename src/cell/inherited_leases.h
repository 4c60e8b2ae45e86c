#pragma once

#include <map>
#include <string>

#include "base/clock.h"

namespace monsoonmux::cell {

// Until when leases on a runner may last.
struct lease_limits {
  instant in_time;  // If no command is executed late.
  instant if_late;  // In any case.
};

// Until when leases that previous leaders granted may last, on this daemon's clock.
struct inherited_leases {
  lease_limits until;  // On all runners that are not listed here.
  std::map<std::string, lease_limits> by_runner;

  const lease_limits& on(const std::string& runner) const {
    const auto it = this->by_runner.find(runner);
    return it == this->by_runner.end() ? this->until : it->second;
  }
};

}  // namespace monsoonmux::cell
