#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "decide/runner_table.h"

namespace monsoonmux::cell {

// Why and when the leader took a run for over.
struct closed_run {
  run_key run;
  std::string why;  // The outcome that its runner listed, or why it was taken for lost.
  instant at;
};

// The runs of each runner that were closed last. If a runner reports one of them as
// running, this tells which conclusion was wrong.
class closed_runs {
 public:
  static constexpr std::size_t max_runs_per_runner = 32;

  void add(const std::string& runner, closed_run run);
  std::optional<closed_run> find(const std::string& runner, const run_key& run) const;

 private:
  std::map<std::string, std::deque<closed_run>> by_runner;  // The oldest run first.
};

}  // namespace monsoonmux::cell
