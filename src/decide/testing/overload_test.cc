// Simulates loads close to and beyond the capacity of the runners, and checks the share of
// jobs that complete in time.

#include <catch2/catch.hpp>
#include <random>

#include "decide/testing/load_simulator.h"

namespace monsoonmux::cell {
namespace {

constexpr resources inspection_runner{millicores{64'000}, mebibytes{131'072}, devices{8}};
constexpr resources check_need{millicores{5'600}, mebibytes{11'264}, devices{1}};
constexpr millis load_length{60'000};
constexpr int runner_count = 13;

std::string runner_name(int index) {
  return "i-" + std::to_string(10 + index);
}

// A load such as inspection sheds submit: tasks that take a quarter to all of a runner's
// accelerators, as gangs or independent tasks, mixed with steps of a few tasks with one accelerator
// each. `load_factor` 1 needs nearly all of 13 runners; the arrival rate is multiplied by `burst`
// between 10 s and 16 s.
std::vector<simulated_job> inspection_load(double load_factor, double burst, bool gangs,
                                           std::uint32_t seed) {
  std::mt19937 random(seed);
  std::exponential_distribution<double> gap(3.74 * load_factor / 1'000);
  std::uniform_real_distribution<double> spread(0.4, 1.6);
  std::vector<simulated_job> out;
  double at = 0;
  for (int i = 0;; ++i) {
    const bool in_burst = at > 10'000 && at < 16'000;
    at += gap(random) / (in_burst ? burst : 1);
    if (at > static_cast<double>(load_length.value)) {
      return out;
    }
    simulated_job job;
    job.id = "job" + std::to_string(1'000 + i);
    job.at = millis{static_cast<std::int64_t>(at)};
    step_spec step;
    step.checkpoints = true;
    if (random() % 2 == 0) {
      constexpr std::int64_t sizes[] = {2, 4, 8, 8, 8, 8};
      constexpr std::int32_t counts[] = {1, 1, 1, 2, 2, 3};
      job.queue = "grade";
      job.run_time = millis{static_cast<std::int64_t>(3'600 * spread(random))};
      step.gang = gangs;
      step.count = counts[random() % 6];
      step.need = {millicores{31'000}, mebibytes{45'000}, devices{sizes[random() % 6]}};
    } else {
      job.queue = "check";
      job.run_time = millis{static_cast<std::int64_t>(3'800 * spread(random))};
      step.count = static_cast<std::int32_t>(1 + random() % 7);
      step.need = check_need;
    }
    const double good = job.queue == "grade" ? 0.3 : 0.45;
    for (int r = 0; r < runner_count; ++r) {
      if (std::bernoulli_distribution(good)(random)) {
        job.permitted.push_back(runner_name(r));
      }
    }
    if (job.permitted.empty()) {
      job.permitted.push_back(runner_name(0));
    }
    step.estimate = job.run_time;
    job.spec.steps = {step};
    out.push_back(std::move(job));
  }
}

cell_builder inspection_cell() {
  cell_builder cell;
  cell.queue().advice = advice_config{100, 1, millis{2'000}};
  cell.add_queue("grade", 1, 2.2).target_latency = millis{1'000};
  cell.add_queue("check", 2, 4.0).target_latency = millis{3'000};
  for (int i = 0; i < runner_count; ++i) {
    cell.add_runner(runner_name(i), inspection_runner, "r" + std::to_string(i / 3));
  }
  return cell;
}

struct totals {
  double grade = 0;
  double check = 0;
  double use = 0;  // Mean utilization of the accelerators.
};

totals simulate(double load_factor, double burst, bool gangs) {
  constexpr std::uint32_t seeds = 5;
  totals out;
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    cell_builder cell = inspection_cell();
    load_simulator simulator(cell);
    const auto results =
        simulator.simulate(inspection_load(load_factor, burst, gangs, seed), load_length);
    out.grade += results.at("grade").in_time_share() / seeds;
    out.check += results.at("check").in_time_share() / seeds;
    out.use += static_cast<double>(simulator.accelerator_ms()) /
               static_cast<double>(runner_count * 8 * load_length.value) / seeds;
  }
  return out;
}

TEST_CASE("Late work of an urgent queue does not make the next queue late as well") {
  // A burst on top of a load beyond the runners' capacity. Late jobs have little value; the
  // jobs of the less urgent queue have more slack, so more of them can be in time.
  const totals result = simulate(1.3, 6, false);
  INFO("grade " << result.grade << " check " << result.check << " use " << result.use);
  CHECK(result.check > 0.5);
  CHECK(result.grade + result.check > 0.85);
}

TEST_CASE("Large tasks do not wait until a runner happens to be empty") {
  const totals result = simulate(0.8, 1, false);
  INFO("grade " << result.grade << " check " << result.check << " use " << result.use);
  CHECK(result.grade > 0.82);
  CHECK(result.check > 0.9);
}

TEST_CASE("Gangs do not wait until a runner happens to be empty") {
  const totals result = simulate(0.8, 1, true);
  INFO("grade " << result.grade << " check " << result.check << " use " << result.use);
  CHECK(result.grade > 0.82);
  CHECK(result.check > 0.9);
}

}  // namespace
}  // namespace monsoonmux::cell
