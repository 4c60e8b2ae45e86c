#include "load/load_plan.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace monsoonmux {
namespace {

// Shape parameter of the Pareto distribution: finite mean, infinite variance.
constexpr double pareto_alpha = 1.5;
// Upper bound on a Pareto-distributed work time, as a multiple of the mean.
constexpr double max_factor = 1'000;

double sample_work_ms(const call_stream& s, std::mt19937& random) {
  switch (s.work) {
    case work_distribution::fixed:
      return s.work_ms;
    case work_distribution::exponential:
      return s.work_ms > 0 ? std::exponential_distribution<>(1 / s.work_ms)(random) : 0;
    case work_distribution::pareto: {
      const double u = std::uniform_real_distribution<>(0, 1)(random);
      const double scale = s.work_ms * (pareto_alpha - 1) / pareto_alpha;
      return std::min(scale / std::pow(1 - u, 1 / pareto_alpha), s.work_ms * max_factor);
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
    const double mean_interval_ms = 1'000 / s.per_second;
    double time_ms = 0;
    for (;;) {
      time_ms += s.arrival == arrival_process::uniform
                     ? mean_interval_ms
                     : std::exponential_distribution<>(1 / mean_interval_ms)(random);
      if (time_ms >= static_cast<double>(e.duration.value)) {
        break;
      }
      out.push_back(
          {time_ms, i, static_cast<std::int64_t>(std::llround(sample_work_ms(s, random)))});
    }
  }
  std::sort(out.begin(), out.end(),
            [](const planned_call& a, const planned_call& b) { return a.at_ms < b.at_ms; });
  return out;
}

}  // namespace monsoonmux
