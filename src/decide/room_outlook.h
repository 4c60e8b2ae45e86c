#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "base/clock.h"
#include "decide/runner_table.h"

namespace monsoonmux::cell {

// The capacity that will be free on the runners of a pool by some time, as far as the ends of their
// runs are expected, less what steps of the round already count on.
class room_outlook {
 public:
  // `runners` must outlive this. `stop_time`: until a run that is being stopped has ended.
  room_outlook(const std::vector<runner_state*>& runners, instant now, millis stop_time)
      : runners(runners), now(now), stop_time(stop_time), taken(runners.size()) {}

  // True if a task that needs `each` will fit by then on the runner with this index, whatever steps
  // of the round count on.
  bool will_fit(std::size_t runner, const resources& each, instant by) {
    return each.fits(this->free_by(by)[runner]);
  }
  // Number of tasks, `most` at the most, that need `each` and will fit by then on the runner with
  // this index.
  std::size_t fitting(std::size_t runner, const resources& each, instant by, std::size_t most);
  // False if there is no runner where a task that needs `each` will fit by then.
  bool may_fit(const resources& each, instant by);
  // The runner on which may_fit() or take() was last.
  std::size_t last_fit() const { return this->last_fit_at; }
  // A run that takes so much of the runner's capacity was placed there, and counts as used.
  void place(std::size_t runner, const resources& amount) {
    for (auto& [by, free] : this->by_time) {
      free[runner] -= amount;
    }
  }
  // From now on so much of the runner's capacity is counted on.
  void take(std::size_t runner, const resources& amount) {
    this->taken[runner] += amount;
    this->last_fit_at = runner;
  }

 private:
  // A task that needed so much did not fit on any runner by then.
  struct misfit {
    resources each;
    instant by;
  };
  const std::vector<resources>& free_by(instant by);
  resources free_on(const runner_state& runner, instant by) const;

  const std::vector<runner_state*>& runners;
  const instant now;
  const millis stop_time;
  std::vector<resources> taken;
  std::map<instant, std::vector<resources>> by_time;
  std::vector<misfit> misfits;
  std::size_t last_fit_at = 0;
};

}  // namespace monsoonmux::cell
