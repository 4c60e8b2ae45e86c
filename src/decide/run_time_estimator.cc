#include "decide/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace monsoonmux::cell {
namespace {

// Weight of the newest sample: about the last 20 count.
constexpr double sample_weight = 0.05;
// A runner has fewer samples, and may turn slow at any time.
constexpr double runner_sample_weight = 0.15;
// One task says no more than this about its runner.
constexpr double min_ratio = 0.25;
constexpr double max_ratio = 4;
// Samples of a queue before its mean says anything about runners.
constexpr std::int64_t min_samples = 5;

}  // namespace

double run_time_estimator::predict(const queue_run_time_stats& seen, millis declared) {
  const bool scaled = declared.value > 0 && seen.scaled_error < seen.mean_error;
  return scaled ? static_cast<double>(declared.value) * seen.scale : seen.mean_ms;
}

void run_time_estimator::add_sample(const queue_id& queue, const std::string& runner,
                                    millis declared, millis taken) {
  const auto value = static_cast<double>(taken.value);
  const auto promised = static_cast<double>(std::max<std::int64_t>(declared.value, 1));
  ++this->sample_count;
  queue_run_time_stats& seen = this->by_queue[queue];
  seen.queue = queue;
  const double expected = predict(seen, declared);
  if (seen.count >= min_samples && expected > 0) {
    const double ratio = std::clamp(value / expected, min_ratio, max_ratio);
    double& slowdown = this->slowness_by_runner.try_emplace(runner, 1.0).first->second;
    slowdown += runner_sample_weight * (ratio - slowdown);
  }
  // The first samples count alike, so that none of them stays in the mean for long.
  const double weight = std::max(sample_weight, 1.0 / static_cast<double>(seen.count + 1));
  if (seen.count > 0) {
    seen.mean_error += weight * (std::abs(value - seen.mean_ms) - seen.mean_error);
    seen.scaled_error += weight * (std::abs(value - promised * seen.scale) - seen.scaled_error);
  }
  seen.mean_ms += weight * (value - seen.mean_ms);
  seen.scale += weight * (value / promised - seen.scale);
  ++seen.count;
}

double run_time_estimator::slowdown(const std::string& runner) const {
  const auto it = this->slowness_by_runner.find(runner);
  return it == this->slowness_by_runner.end() ? 1.0 : it->second;
}

millis run_time_estimator::expected(const queue_id& queue, millis declared) const {
  const auto it = this->by_queue.find(queue);
  return it == this->by_queue.end() ? declared
                                    : millis{std::llround(predict(it->second, declared))};
}

bool run_time_estimator::learned(const queue_id& queue) const {
  const auto it = this->by_queue.find(queue);
  return it != this->by_queue.end() && it->second.count >= min_samples;
}

run_time_stats run_time_estimator::snapshot(epoch at) const {
  run_time_stats out;
  out.leader_epoch = at;
  for (const auto& [queue, seen] : this->by_queue) {
    out.queues.push_back(seen);
  }
  for (const auto& [runner, slowdown] : this->slowness_by_runner) {
    out.runners.push_back({runner, slowdown});
  }
  return out;
}

void run_time_estimator::restore(const run_time_stats& from) {
  this->by_queue.clear();
  this->slowness_by_runner.clear();
  for (const queue_run_time_stats& seen : from.queues) {
    this->by_queue.emplace(seen.queue, seen);
  }
  for (const runner_slowdown& pace : from.runners) {
    this->slowness_by_runner.emplace(pace.runner, pace.slowdown);
  }
}

}  // namespace monsoonmux::cell
