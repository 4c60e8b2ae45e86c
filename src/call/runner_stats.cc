#include "call/runner_stats.h"

#include <algorithm>

namespace monsoonmux {
namespace {

constexpr double smoothing_factor = 0.1;
constexpr int failures_to_eject = 3;  // Consecutive failures.
// The ejection time doubles with each further failure, at most max_doublings times.
constexpr millis base_ejection_time{1'000};
constexpr int max_doublings = 5;

}  // namespace

void runner_stats::on_answer(double latency_ms) {
  this->failures = 0;
  this->ejected_until = {};
  this->smoothed = this->smoothed == 0
                       ? latency_ms
                       : (1 - smoothing_factor) * this->smoothed + smoothing_factor * latency_ms;
}

void runner_stats::on_failure(instant now) {
  ++this->failures;
  if (this->failures >= failures_to_eject) {
    const int doublings = std::min(this->failures - failures_to_eject, max_doublings);
    this->ejected_until = now + base_ejection_time * (std::int64_t{1} << doublings);
  }
}

}  // namespace monsoonmux
