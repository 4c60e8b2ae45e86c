// Plays a load in which every start needs a ticket of the advice service, on hundreds of
// runners, and checks what callers get and what the questions cost.

#include <catch2/catch.hpp>
#include <iostream>
#include <random>

#include "decide/testing/load_player.h"

namespace monsoonmux::cell {
namespace {

constexpr int runner_count = 350;
constexpr std::size_t daemons = 41;
constexpr millis load_length{14'000};
constexpr resources runner_size{millicores{64'000}, mebibytes{131'072}, devices{0}};

// One kind of job.
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
  advice_terms advice;
  double good;
};

std::vector<load_class> classes() {
  return {
      {"plan",
       1,
       2.2,
       millis{1'000},
       5.42,
       1.2,
       20,
       18'000,
       millis{4'000},
       {340, 4.9, millis{2'000}},
       0.3},
      {"quote",
       2,
       4.0,
       millis{3'000},
       8.96,
       1.5,
       25,
       6'900,
       millis{2'700},
       {100, 1.4, millis{2'000}},
       0.45},
      {"check",
       0,
       1.5,
       millis{250},
       80.3,
       1,
       3,
       9'900,
       millis{1'000},
       {11, 0.16, millis{2'000}},
       0.7},
  };
}

std::string runner_name(int index) {
  return "r-" + std::to_string(1'000 + index);
}

played_job job_of(const load_class& kind, double at, std::mt19937& random) {
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  played_job job;
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
  for (int r = 0; r < runner_count; ++r) {
    if (std::bernoulli_distribution(kind.good)(random)) {
      job.permitted.push_back(runner_name(r));
    }
  }
  return job;
}

// `share` 1 needs about 0.8 of all runners.
std::vector<played_job> mixed_load(double share, std::uint32_t seed) {
  std::mt19937 random(seed);
  std::vector<played_job> out;
  for (const load_class& kind : classes()) {
    std::exponential_distribution<double> gap(kind.per_s * share / 1'000);
    for (double at = gap(random); at < static_cast<double>(load_length.value); at += gap(random)) {
      out.push_back(job_of(kind, at, random));
    }
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  for (std::size_t i = 0; i < out.size(); ++i) {
    out[i].id = "job" + std::to_string(10'000 + i);
  }
  return out;
}

cell_builder mixed_cell() {
  cell_builder cell;
  for (const load_class& kind : classes()) {
    queue_config& queue = cell.add_queue(kind.queue, kind.priority, kind.stretch);
    queue.target_latency = kind.target_latency;
    queue.advice = kind.advice;
  }
  for (int i = 0; i < runner_count; ++i) {
    cell.add_runner(runner_name(i), runner_size, "r" + std::to_string(i / 12));
  }
  return cell;
}

TEST_CASE(
    "On hundreds of runners nearly every step is asked about once, and all kinds are in time") {
  cell_builder cell = mixed_cell();
  load_player player(cell, {}, {.daemons = daemons});
  const auto results = player.play(mixed_load(0.9, 1), load_length + millis{12'000});
  for (const auto& [queue, result] : results) {
    INFO(queue << ": " << result.in_time << " of " << result.jobs << " in time, " << result.over
               << " over");
    CHECK(result.over == result.jobs);
    CHECK(result.in_time_share() >= 0.95);
  }
  INFO("spent " << player.advice_spent_ms() << " ms, needed " << player.advice_needed_ms());
  CHECK(player.advice_spent_ms() <= 1.5 * player.advice_needed_ms());
}

}  // namespace
}  // namespace monsoonmux::cell
