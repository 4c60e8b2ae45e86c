#include "call/runner_stats.h"

#include <algorithm>

namespace monsoonmux {
namespace {

constexpr double weight = 0.1;
constexpr int failures_to_leave_out = 3;
constexpr millis first_out{1'000};
constexpr int max_doublings = 5;

}  // namespace

void runner_stats::on_answer(double latency_ms) {
  this->failures = 0;
  this->out_until = {};
  this->smoothed =
      this->smoothed == 0 ? latency_ms : (1 - weight) * this->smoothed + weight * latency_ms;
}

void runner_stats::on_failure(instant now) {
  ++this->failures;
  if (this->failures >= failures_to_leave_out) {
    const int doublings = std::min(this->failures - failures_to_leave_out, max_doublings);
    this->out_until = now + first_out * (std::int64_t{1} << doublings);
  }
}

}  // namespace monsoonmux
