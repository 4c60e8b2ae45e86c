#pragma once

#include <catch2/catch.hpp>
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

inline void check_history(const fake_cell& cell) {
  for (const std::string& broken : cell.history.broken) {
    FAIL_CHECK(broken);
  }
}

}  // namespace monsoonmux::cell
