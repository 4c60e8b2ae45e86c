#include "decide/run_progress.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace monsoonmux::cell {
namespace {

constexpr instant begin{1'000'000};
constexpr millis report_interval{1'000};

// Reports a run that takes `duration` and stands still from `stop` on. Returns when it was first
// found not to get on after it did; `never`: not until `end`.
instant first_found_still(millis duration, millis stop, millis end) {
  run_progress progress;
  bool got_on = false;
  for (millis age{0}; age <= end; age += report_interval) {
    const millis done = std::min(age, stop);
    progress.note(static_cast<std::int32_t>(done.value * 100 / duration.value), begin + age);
    if (got_on && !progress.gets_on()) {
      return begin + age;
    }
    got_on = got_on || progress.gets_on();
  }
  CHECK(got_on);
  return never;
}

TEST_CASE("A run gets on from its first reported progress") {
  run_progress progress;
  CHECK_FALSE(progress.note(0, begin));
  CHECK_FALSE(progress.note(0, begin + millis{500}));
  CHECK(progress.note(1, begin + millis{1'000}));
  CHECK(progress.gets_on());
  CHECK_FALSE(progress.note(2, begin + millis{1'500}));
}

TEST_CASE("A run that takes long gets on all the time, whatever it takes") {
  for (const millis duration :
       {millis{5'000}, millis{60'000}, millis{600'000}, millis{3'600'000}}) {
    INFO("duration " << duration.value);
    // Below, a percent takes a large part of the run's age.
    constexpr std::int32_t judged_from = 5;
    run_progress progress;
    for (millis age{0}; age < duration; age += report_interval) {
      const auto percent = static_cast<std::int32_t>(age.value * 100 / duration.value);
      progress.note(percent, begin + age);
      if (percent >= judged_from) {
        CHECK(progress.gets_on());
      }
    }
  }
}

TEST_CASE("A run that stands still is found after a quarter of its age") {
  constexpr millis day{86'400'000};
  const instant quick = first_found_still(millis{20'000}, millis{4'000}, day);
  CHECK(quick <= begin + millis{4'000} + millis{2'000} + report_interval * 2);
  const instant slow = first_found_still(millis{120'000}, millis{60'000}, day);
  CHECK(slow <= begin + millis{60'000} + millis{20'000} + report_interval * 3);
  CHECK(first_found_still(millis{120'000}, millis{120'000}, millis{119'000}) == never);
}

}  // namespace
}  // namespace monsoonmux::cell
