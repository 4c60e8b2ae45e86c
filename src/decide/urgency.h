#pragma once

#include <compare>
#include <cstdint>
#include <unordered_map>

#include "decide/cell_state.h"

namespace monsoonmux::cell {

// Work of an earlier class goes before all of a later one.
enum class urgency_class : std::uint8_t {
  interrupted,  // Lasting tasks that have lost their run: each second without one counts.
  usual,
  given_up,  // So late that the job no longer has any value.
};

// Sort key of a waiting step; the smallest goes first.
//
// Work that can still meet its objective goes before late work of its own priority and of
// the next higher priority. Work that no longer has any value for its submitter goes last,
// but is still done.
struct urgency {
  urgency_class kind = urgency_class::usual;
  std::int32_t priority = 0;  // Of the queue; a larger number once it is late.
  bool over_share = false;    // The team uses well over its fair share.
  millis slack;               // Time until the objective minus the remaining run time.

  auto operator<=>(const urgency&) const = default;
};

// Computes the urgency of steps. The objective for the duration of a job is the stretch of
// its queue times the critical path of its steps, plus the queue's latency target.
class urgency_evaluator {
 public:
  urgency_evaluator(cell_state& state, instant now, std::int64_t wall_ms);

  // `queue`: of the job; null if the configuration has it no more.
  urgency evaluate(const live_job& job, const queue_config* queue, std::int32_t occurrence,
                   live_occurrence& run, const step_spec& step);

 private:
  // Expected run times change with each run that ends; a path is reckoned anew after this.
  static constexpr millis path_lifetime{500};

  void update_path(const job_spec& spec, const queue_config& queue, live_occurrence& run) const;
  // Run time of the longest chain of dependent steps; of those that are not complete in
  // `remaining`, if that is given.
  millis critical_path(const job_spec& spec, const queue_config& queue,
                       const live_occurrence* remaining) const;
  double fair_share() const;
  // True if the team uses well over its fair share.
  bool over_share(const team_id& team);

  cell_state& state;
  const instant now;
  const std::int64_t wall_ms;
  resources total;
  double fair_usage = 0;
  std::unordered_map<team_id, bool> shares;  // What over_share() has returned.
};

}  // namespace monsoonmux::cell
