#include "decide/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace monsoonmux::cell {
namespace {

// Weight of the newest sample in the moving averages: about the last 20 samples count.
constexpr double sample_weight = 0.05;
// Higher for runners, since a runner has fewer samples and may become slow at any time.
constexpr double runner_sample_weight = 0.15;
// Bounds for the influence of a single task on the slowdown of its runner.
constexpr double min_ratio = 0.25;
constexpr double max_ratio = 4;
// Samples of a queue before its estimates are reliable and used to rate runners.
constexpr std::int64_t min_samples = 5;

}  // namespace

double run_time_estimator::predict(const queue_run_time_stats& stats, millis declared) {
  const bool scaled = declared.value > 0 && stats.scaled_error < stats.mean_error;
  return scaled ? static_cast<double>(declared.value) * stats.scale : stats.mean_ms;
}

void run_time_estimator::add_sample(const queue_id& queue, const std::string& runner,
                                    millis declared, millis taken) {
  const auto value = static_cast<double>(taken.value);
  const auto declared_value = static_cast<double>(std::max<std::int64_t>(declared.value, 1));
  ++this->sample_count;
  queue_run_time_stats& stats = this->by_queue[queue];
  stats.queue = queue;
  const double expected = predict(stats, declared);
  if (stats.count >= min_samples && expected > 0) {
    const double ratio = std::clamp(value / expected, min_ratio, max_ratio);
    double& slowdown = this->slowdown_by_runner.try_emplace(runner, 1.0).first->second;
    slowdown += runner_sample_weight * (ratio - slowdown);
  }
  // The first samples have equal weights, so that none of them dominates the mean for long.
  const double weight = std::max(sample_weight, 1.0 / static_cast<double>(stats.count + 1));
  if (stats.count > 0) {
    stats.mean_error += weight * (std::abs(value - stats.mean_ms) - stats.mean_error);
    stats.scaled_error +=
        weight * (std::abs(value - declared_value * stats.scale) - stats.scaled_error);
  }
  stats.mean_ms += weight * (value - stats.mean_ms);
  stats.scale += weight * (value / declared_value - stats.scale);
  ++stats.count;
}

double run_time_estimator::slowdown(const std::string& runner) const {
  const auto it = this->slowdown_by_runner.find(runner);
  return it == this->slowdown_by_runner.end() ? 1.0 : it->second;
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
  for (const auto& [queue, stats] : this->by_queue) {
    out.queues.push_back(stats);
  }
  for (const auto& [runner, slowdown] : this->slowdown_by_runner) {
    out.runners.push_back({runner, slowdown});
  }
  return out;
}

void run_time_estimator::restore(const run_time_stats& from) {
  this->by_queue.clear();
  this->slowdown_by_runner.clear();
  for (const queue_run_time_stats& stats : from.queues) {
    this->by_queue.emplace(stats.queue, stats);
  }
  for (const runner_slowdown& entry : from.runners) {
    this->slowdown_by_runner.emplace(entry.runner, entry.slowdown);
  }
}

}  // namespace monsoonmux::cell
