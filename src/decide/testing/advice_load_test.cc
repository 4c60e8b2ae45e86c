// Simulates a load on hundreds of runners in which every start needs a ticket of the advice
// service, and checks the share of jobs in time and the cost of the advice queries.

#include <catch2/catch.hpp>

#include "decide/testing/load_profile.h"

namespace monsoonmux::cell {
namespace {

constexpr std::size_t daemons = 41;

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

// A load that needs about 0.8 of the capacity of all runners.
load_profile mixed_shape() {
  return {classes(), 350, {millicores{64'000}, mebibytes{131'072}, devices{0}}, millis{14'000}, {}};
}

TEST_CASE("On hundreds of runners most steps need one advice query, and all classes are in time") {
  const load_profile profile = mixed_shape();
  cell_builder cell = cell_of(profile);
  load_simulator simulator(cell, {}, {.daemons = daemons});
  const auto results =
      simulator.simulate(jobs_of(profile, 0.9, 1), profile.length + millis{12'000});
  for (const auto& [queue, result] : results) {
    INFO(queue << ": " << result.in_time << " of " << result.jobs << " in time, "
               << result.completed << " completed");
    CHECK(result.completed == result.jobs);
    CHECK(result.in_time_share() >= 0.95);
  }
  INFO("spent " << simulator.advice_spent_ms() << " ms, needed " << simulator.advice_needed_ms());
  CHECK(simulator.advice_spent_ms() <= 1.5 * simulator.advice_needed_ms());
}

}  // namespace
}  // namespace monsoonmux::cell
