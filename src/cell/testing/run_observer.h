#pragma once

#include <string>

namespace monsoonmux::cell {

// Hears when runs begin and end on the runners of a test.
class run_observer {
 public:
  virtual ~run_observer() = default;
  virtual void run_began(const std::string& task) = 0;
  // Also when the run's runner has crashed.
  virtual void run_ended(const std::string& task) = 0;
};

}  // namespace monsoonmux::cell
