#pragma once

#include <compare>

#include "decide/cell_state.h"

namespace monsoonmux::cell {

// Where a step stands among all that wait; the smallest goes first.
//
// Work that can still meet its objective goes before work of the same priority and
// of the one before that cannot, and work that is worth nothing to its submitter any more goes
// last, but is still done.
struct urgency {
  bool given_up = false;      // Past the multiple of its objective that counts.
  std::int32_t priority = 0;  // Of the queue; a larger number once it is late.
  bool over_share = false;    // Its tenant uses well over its share.
  millis slack;               // Until the objective, less what is left to run.

  auto operator<=>(const urgency&) const = default;
};

// Objective of a job: its stretch times the longest chain of its steps, and the
// queue's latency target on top.
class urgency_evaluator {
 public:
  urgency_evaluator(cell_state& state, instant now, std::int64_t wall_ms);

  urgency evaluate(const live_job& job, std::int32_t occurrence, const live_occurrence& run,
                   const step_spec& step) const;

 private:
  millis critical_path(const job_spec& spec, const queue_config& queue,
                       const live_occurrence* left) const;
  double fair_share() const;
  bool over_share(const team_id& team) const;

  cell_state& state;
  const instant now;
  const std::int64_t wall_ms;
  resources total;
  double fair_usage = 0;
};

}  // namespace monsoonmux::cell
