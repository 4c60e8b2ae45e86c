#include "decide/urgency.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace monsoonmux::cell {
namespace {

// A job that takes more than this many times its objective has no value any more.
constexpr std::int64_t give_up_factor = 3;
// Run times vary, and each step adds the latency to the runner and back: work with less
// slack than this margin would mostly be late.
constexpr std::int64_t margin_divisor = 5;  // A fifth of the remaining run time.
constexpr millis min_margin{150};
// Late work goes after work in time of its own priority and of the next lower one, which
// mostly has more slack and would also become late behind a backlog of late work.
constexpr std::int32_t late_priority_offset = 2;
// A team may exceed its fair share by this factor before its work goes after others'.
constexpr double share_tolerance = 1.3;

}  // namespace

urgency_evaluator::urgency_evaluator(cell_state& cell, instant at, std::int64_t wall)
    : state(cell), now(at), wall_ms(wall) {
  for (const auto& [id, runner] : this->state.runners.all()) {
    this->total += runner.entry.capacity;
  }
  this->fair_usage = this->fair_share();
}

// Returns the weighted share that every team with running tasks would have if all had the
// same.
double urgency_evaluator::fair_share() const {
  double used = 0;
  double weights = 0;
  for (const team_config& team : this->state.config.teams) {
    const double share = dominant_share(this->state.teams.used(team.name), this->total);
    if (share > 0) {
      used += share;
      weights += team.weight;
    }
  }
  return weights > 0 ? used / weights : 0;
}

millis urgency_evaluator::critical_path(const job_spec& spec, const queue_config& queue,
                                        const live_occurrence* remaining) const {
  std::vector<std::int64_t> ends(spec.steps.size(), 0);
  std::int64_t longest = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    std::int64_t start = 0;
    for (const std::int32_t earlier : spec.steps[i].depends_on) {
      start = std::max(start, ends[static_cast<std::size_t>(earlier)]);
    }
    const bool over = remaining != nullptr && remaining->steps[i].complete();
    const millis own =
        over ? millis{0} : this->state.run_times.expected(queue.name, spec.steps[i].estimate);
    ends[i] = start + own.value;
    longest = std::max(longest, ends[i]);
  }
  return millis{longest};
}

bool urgency_evaluator::over_share(const team_id& team) {
  if (team.empty() || this->fair_usage <= 0) {
    return false;
  }
  const auto [known, is_new] = this->shares.try_emplace(team);
  if (is_new) {
    known->second = this->state.teams.weighted_share(this->state.config, team, this->total) >
                    share_tolerance * this->fair_usage;
  }
  return known->second;
}

void urgency_evaluator::update_path(const job_spec& spec, const queue_config& queue,
                                    live_occurrence& run) const {
  const auto complete = static_cast<std::size_t>(std::count_if(
      run.steps.begin(), run.steps.end(), [](const live_step& step) { return step.complete(); }));
  expected_path& path = run.path;
  if (path.is_known && path.complete_steps == complete &&
      this->now - path.reckoned_at < path_lifetime) {
    return;
  }
  path = {this->critical_path(spec, queue, nullptr), this->critical_path(spec, queue, &run),
          this->now, complete, true};
}

urgency urgency_evaluator::evaluate(const live_job& job, const queue_config* queue,
                                    std::int32_t occurrence, live_occurrence& run,
                                    const step_spec& step) {
  urgency out;
  if (queue == nullptr) {
    out.priority = INT32_MAX / 2;  // The queue was removed; accepted work is still done.
    return out;
  }
  out.over_share = this->over_share(job.submission().team);
  if (step.long_running) {
    // A long-running task has no end to be late for: each second of waiting counts alike.
    out.priority = queue->priority;
    return out;
  }
  const job_spec& spec = job.spec();
  this->update_path(spec, *queue, run);
  const millis objective{std::llround(queue->stretch * static_cast<double>(run.path.whole.value)) +
                         queue->target_latency.value};
  const millis age = spec.timed() ? millis{this->wall_ms - spec.due_ms(occurrence)}
                                  : this->now - job.accepted_at();
  const millis waited = std::max(age, millis{0});
  const millis remaining = run.path.left;
  out.slack = objective - waited - remaining;
  const bool given_up = waited + remaining > objective * give_up_factor;
  out.kind = given_up ? urgency_class::given_up : urgency_class::usual;
  const bool likely_late = out.slack < remaining / margin_divisor + min_margin;
  out.priority = queue->priority + (likely_late ? late_priority_offset : 0);
  return out;
}

}  // namespace monsoonmux::cell
