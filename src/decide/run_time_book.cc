#include "decide/run_time_book.h"

#include <algorithm>
#include <cmath>

namespace monsoonmux::cell {
namespace {

// Weight of the newest sample: about the last 20 count.
constexpr double newest_weight = 0.05;
// A runner has fewer samples, and may turn slow at any time.
constexpr double newest_runner_weight = 0.15;
// One task says no more than this about its runner.
constexpr double least_ratio = 0.25;
constexpr double most_ratio = 4;
// Samples of a queue before its mean says anything about runners.
constexpr std::int64_t enough_samples = 5;

}  // namespace

void run_time_book::note(const queue_id& queue, const std::string& runner, millis taken) {
  const auto value = static_cast<double>(taken.value);
  ++this->noted;
  queue_times& seen = this->by_queue[queue];
  seen.queue = queue;
  if (seen.count >= enough_samples && seen.mean_ms > 0) {
    const double ratio = std::clamp(value / seen.mean_ms, least_ratio, most_ratio);
    double& slowness = this->slowness_by_runner.try_emplace(runner, 1.0).first->second;
    slowness += newest_runner_weight * (ratio - slowness);
  }
  seen.mean_ms = seen.count == 0 ? value : seen.mean_ms + newest_weight * (value - seen.mean_ms);
  ++seen.count;
}

double run_time_book::slowness(const std::string& runner) const {
  const auto it = this->slowness_by_runner.find(runner);
  return it == this->slowness_by_runner.end() ? 1.0 : it->second;
}

millis run_time_book::expected(const queue_id& queue, millis declared) const {
  const auto it = this->by_queue.find(queue);
  return it == this->by_queue.end() ? declared : millis{std::llround(it->second.mean_ms)};
}

bool run_time_book::learned(const queue_id& queue) const {
  const auto it = this->by_queue.find(queue);
  return it != this->by_queue.end() && it->second.count >= enough_samples;
}

learned_times run_time_book::snapshot(epoch at) const {
  learned_times out;
  out.owner_epoch = at;
  for (const auto& [queue, seen] : this->by_queue) {
    out.queues.push_back(seen);
  }
  for (const auto& [runner, slowness] : this->slowness_by_runner) {
    out.runners.push_back({runner, slowness});
  }
  return out;
}

void run_time_book::restore(const learned_times& from) {
  this->by_queue.clear();
  this->slowness_by_runner.clear();
  for (const queue_times& seen : from.queues) {
    this->by_queue.emplace(seen.queue, seen);
  }
  for (const runner_pace& pace : from.runners) {
    this->slowness_by_runner.emplace(pace.runner, pace.slowness);
  }
}

}  // namespace monsoonmux::cell
