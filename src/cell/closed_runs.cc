#include "cell/closed_runs.h"

#include <algorithm>
#include <utility>

namespace monsoonmux::cell {

void closed_runs::add(const std::string& runner, closed_run run) {
  std::deque<closed_run>& runs = this->by_runner[runner];
  runs.push_back(std::move(run));
  if (runs.size() > max_runs_per_runner) {
    runs.pop_front();
  }
}

std::optional<closed_run> closed_runs::find(const std::string& runner, const run_key& run) const {
  const auto runs = this->by_runner.find(runner);
  if (runs == this->by_runner.end()) {
    return std::nullopt;
  }
  const auto latest = std::find_if(runs->second.rbegin(), runs->second.rend(),
                                   [&run](const closed_run& closed) { return closed.run == run; });
  return latest == runs->second.rend() ? std::nullopt : std::optional(*latest);
}

}  // namespace monsoonmux::cell
