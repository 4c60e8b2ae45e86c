// Simulates loads of short jobs with many tasks beside long jobs, and checks the share of
// the short jobs that complete in time.

#include <catch2/catch.hpp>

#include "decide/testing/load_profile.h"

namespace monsoonmux::cell {
namespace {

constexpr std::size_t daemons = 42;

// Short lookups with a burst of 8 s, beside certificates and watchers.
load_profile lookups_beside_certificates() {
  return {{{"lookup",
            0,
            1.5,
            millis{250},
            35.1,
            1.5,
            10,
            2'700,
            millis{700},
            {17, 0.24, millis{1'500}},
            0.7},
           {"watch",
            1,
            2.2,
            millis{2'500},
            0.225,
            1,
            15,
            2'700,
            millis{60'000},
            {550, 7.9, millis{1'500}},
            0.3},
           {"certificate",
            2,
            4.0,
            millis{3'000},
            2.12,
            2,
            22,
            4'500,
            millis{4'500},
            {160, 2.3, millis{1'500}},
            0.45}},
          252,
          {millicores{18'000}, mebibytes{65'536}, devices{0}},
          millis{24'000},
          load_burst{"lookup", 3.5, millis{1'000}, millis{9'000}}};
}

// Returns the share of lookups in time if the leader runs a planning round every
// `round_interval`.
double lookups_in_time(millis round_interval) {
  const load_profile profile = lookups_beside_certificates();
  cell_builder cell = cell_of(profile);
  load_simulator simulator(cell, {}, {.daemons = daemons, .round_interval = round_interval});
  const auto results = simulator.simulate(jobs_of(profile, 1, 1), profile.length + millis{6'000});
  for (const auto& [queue, result] : results) {
    UNSCOPED_INFO(queue << ": " << result.in_time << " of " << result.jobs << " in time, "
                        << result.completed << " completed");
  }
  return results.at("lookup").in_time_share();
}

// Share of lookups in time: the mean worth that is asked of the site with this load.
constexpr double least_in_time = 0.76;

TEST_CASE("Short jobs of many tasks are not starved of advice by a burst and long jobs") {
  CHECK(lookups_in_time(millis{10}) >= least_in_time);
}

TEST_CASE("Short jobs of many tasks are not starved of advice by a leader on a slow host") {
  CHECK(lookups_in_time(millis{180}) >= least_in_time);
}

}  // namespace
}  // namespace monsoonmux::cell
