#pragma once

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "cell/testing/fake_cell.h"

// What several tests of complete cells share.
namespace monsoonmux::cell {

// Until a new cell has a leader that knows all runners.
constexpr millis boot_time{2'000};

inline std::string job_name(int i) {
  return "job" + std::to_string(1'000 + i);
}

// All commands of the leader go through agents on other daemons.
inline daemon_options through_agents() {
  daemon_options out;
  out.leader.agents.assignment.max_direct_runners = 0;
  return out;
}

// All runners refuse the calls that were sent to an earlier incarnation, as the platform promises
// (docs/PLATFORM.md). Otherwise they execute them, and always if MONSOONMUX_EARLIER_CALLS is set,
// to see what the promise is needed for.
inline void refuse_earlier_calls(fake_cell& cell) {
  if (std::getenv("MONSOONMUX_EARLIER_CALLS") != nullptr) {
    return;
  }
  for (auto& runner : cell.runners) {
    runner->refuses_earlier_calls = true;
  }
}

inline void check_history(const fake_cell& cell) {
  for (const std::string& broken : cell.history.broken) {
    FAIL_CHECK(broken);
  }
}

}  // namespace monsoonmux::cell
