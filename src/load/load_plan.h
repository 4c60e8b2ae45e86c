#pragma once

#include <vector>

#include "load/experiment.h"

namespace monsoonmux {

// One call to be sent: when, of which stream, how much work.
struct planned_call {
  double at_ms = 0;  // After the start of the run.
  std::size_t stream = 0;
  std::int64_t work_ms = 0;
};

// All calls of an experiment in order of time. Follows from the seed alone.
std::vector<planned_call> make_plan(const experiment& e);

}  // namespace monsoonmux
