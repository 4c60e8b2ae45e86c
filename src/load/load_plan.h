#pragma once

#include <vector>

#include "load/experiment.h"

namespace monsoonmux {

// One call to be sent: when, of which stream, and with how much work.
struct planned_call {
  double at_ms = 0;  // After the start of the run.
  std::size_t stream = 0;
  std::int64_t work_ms = 0;
};

// Returns all calls of an experiment in order of time. The only source of randomness is
// the seed, so the same experiment always gives the same plan.
std::vector<planned_call> make_plan(const experiment& e);

}  // namespace monsoonmux
