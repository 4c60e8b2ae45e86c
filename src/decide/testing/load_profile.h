#pragma once

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "decide/testing/load_simulator.h"

namespace monsoonmux::cell {

// A class of jobs, each start of which needs a ticket of the advice service. The amounts
// are means; those of a single job vary between 0.5 and 1.5 times the mean.
struct load_class {
  std::string queue;
  std::int32_t priority;
  double stretch;
  millis target_latency;
  double per_s;
  double steps;
  std::int32_t width;
  std::int64_t cpu;
  millis run_time;
  advice_config advice;
  double good;  // Share of the runners that the advice service permits.
};

// Between `from` and `until` the arrival rate of a class is multiplied by `rate_factor`.
struct load_burst {
  std::string queue;
  double rate_factor = 1;
  millis from;
  millis until;
};

// A pool of equal runners, the classes of jobs that arrive, and the length of the load.
struct load_profile {
  std::vector<load_class> classes;
  int runners = 0;
  resources runner_size;
  millis length;
  std::optional<load_burst> burst;
};

inline std::string load_runner_name(int index) {
  return "r-" + std::to_string(1'000 + index);
}

inline simulated_job job_of(const load_class& kind, const load_profile& profile, double at,
                            std::mt19937& random) {
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  simulated_job job;
  job.queue = kind.queue;
  job.at = millis{static_cast<std::int64_t>(at)};
  job.run_time = millis{static_cast<std::int64_t>(kind.run_time.value * spread(random))};
  const int steps = 1 + (std::bernoulli_distribution(kind.steps - 1)(random) ? 1 : 0);
  for (int s = 0; s < steps; ++s) {
    step_spec step;
    step.count = std::max(1, static_cast<int>(kind.width * spread(random)));
    step.need = {millicores{static_cast<std::int64_t>(kind.cpu * spread(random))}, mebibytes{2'000},
                 devices{0}};
    step.estimate = job.run_time;
    if (s > 0) {
      step.depends_on = {s - 1};
    }
    job.spec.steps.push_back(step);
  }
  for (int r = 0; r < profile.runners; ++r) {
    if (std::bernoulli_distribution(kind.good)(random)) {
      job.permitted.push_back(load_runner_name(r));
    }
  }
  return job;
}

// Returns the jobs of `share` times the load of the profile, in order of arrival.
inline std::vector<simulated_job> jobs_of(const load_profile& profile, double share,
                                          std::uint32_t seed) {
  std::mt19937 random(seed);
  std::vector<simulated_job> out;
  const auto length = static_cast<double>(profile.length.value);
  for (const load_class& kind : profile.classes) {
    std::exponential_distribution<double> gap(kind.per_s * share / 1'000);
    const bool has_burst = profile.burst && profile.burst->queue == kind.queue;
    const auto next = [&](double at) {
      const bool in_burst = has_burst && at >= static_cast<double>(profile.burst->from.value) &&
                            at < static_cast<double>(profile.burst->until.value);
      return at + gap(random) / (in_burst ? profile.burst->rate_factor : 1);
    };
    for (double at = next(0); at < length; at = next(at)) {
      out.push_back(job_of(kind, profile, at, random));
    }
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  for (std::size_t i = 0; i < out.size(); ++i) {
    out[i].id = "job" + std::to_string(10'000 + i);
  }
  return out;
}

inline cell_builder cell_of(const load_profile& profile) {
  constexpr int runners_per_rack = 12;
  cell_builder cell;
  for (const load_class& kind : profile.classes) {
    queue_config& queue = cell.add_queue(kind.queue, kind.priority, kind.stretch);
    queue.target_latency = kind.target_latency;
    queue.advice = kind.advice;
  }
  for (int i = 0; i < profile.runners; ++i) {
    cell.add_runner(load_runner_name(i), profile.runner_size,
                    "r" + std::to_string(i / runners_per_rack));
  }
  return cell;
}

}  // namespace monsoonmux::cell
