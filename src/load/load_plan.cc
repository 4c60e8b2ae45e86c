#include "load/load_plan.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace monsoonmux {
namespace {

// Shape of the heavy tail: finite mean, infinite variance.
constexpr double pareto_alpha = 1.5;
// A single piece of work is at most this many times the mean.
constexpr double max_factor = 1'000;

double sample_work_ms(const call_stream& s, std::mt19937& random) {
  switch (s.work) {
    case work_distribution::fixed:
      return s.work_ms;
    case work_distribution::exponential:
      return s.work_ms > 0 ? std::exponential_distribution<>(1 / s.work_ms)(random) : 0;
    case work_distribution::pareto: {
      const double u = std::uniform_real_distribution<>(0, 1)(random);
      const double least = s.work_ms * (pareto_alpha - 1) / pareto_alpha;
      return std::min(least / std::pow(1 - u, 1 / pareto_alpha), s.work_ms * max_factor);
    }
  }
  return s.work_ms;
}

}  // namespace

std::vector<planned_call> make_plan(const experiment& e) {
  std::vector<planned_call> out;
  for (std::size_t i = 0; i < e.streams.size(); ++i) {
    const call_stream& s = e.streams[i];
    std::mt19937 random(e.seed + static_cast<std::uint32_t>(i) * 7'919);
    const double gap = 1'000 / s.per_second;
    double at = 0;
    for (;;) {
      at += s.arrival == arrival_process::uniform
                ? gap
                : std::exponential_distribution<>(1 / gap)(random);
      if (at >= static_cast<double>(e.duration.value)) {
        break;
      }
      out.push_back({at, i, static_cast<std::int64_t>(std::llround(sample_work_ms(s, random)))});
    }
  }
  std::sort(out.begin(), out.end(),
            [](const planned_call& a, const planned_call& b) { return a.at_ms < b.at_ms; });
  return out;
}

}  // namespace monsoonmux
