#include "cell/runner_clock.h"

#include <catch2/catch.hpp>
#include <random>

namespace monsoonmux::cell {
namespace {

constexpr instant start{1'000'000};

// A clock that began at `start` minus `uptime` and runs at `rate`.
std::int64_t reading_at(instant when, millis uptime, double rate = 1) {
  return static_cast<std::int64_t>(static_cast<double>((when - start + uptime).value) * rate);
}

TEST_CASE("The age of an answer that is handled late follows from the runner's clock") {
  constexpr millis uptime{50'000};
  runner_clock c;
  c.begin({reading_at(start, uptime), start, start + millis{2}});
  const instant executed = start + millis{1'900};
  c.confirm({reading_at(executed, uptime), start + millis{10}, start + millis{9'000}});
  CHECK(c.alive_at() <= executed);
  CHECK(c.alive_at() >= executed - millis{10});
}

TEST_CASE("A reading proves its incarnation only if no later one could show it") {
  constexpr millis uptime{50'000};
  runner_clock c;
  c.begin({reading_at(start, uptime), start, start + millis{2}});
  const instant later = start + millis{20'000};
  runner_clock restarted = c;
  CHECK(c.compare({reading_at(later, uptime), later, later + millis{1}}) == same_incarnation::yes);
  CHECK(c.alive_at() >= later - millis{50});
  // Began right after the first reading.
  CHECK(restarted.compare({reading_at(later, millis{0}), later, later + millis{1}}) ==
        same_incarnation::no);
  CHECK(restarted.alive_at() == start);
}

TEST_CASE("A young runner's reading proves nothing") {
  constexpr millis uptime{1'000};
  runner_clock c;
  c.begin({reading_at(start, uptime, 0.98), start, start + millis{2}});
  const instant later = start + millis{60'000};
  CHECK(c.compare({reading_at(later, uptime, 0.98), later, later + millis{1}}) !=
        same_incarnation::yes);
  CHECK(c.alive_at() == start);
}

TEST_CASE("A lease is reckoned by the lowest clock that the runner may have") {
  runner_clock c;
  c.begin({80'000, start, start});
  c.assume(3'000, start);
  CHECK(c.at_least(start) == 3'000);
  c.assume(500'000, start);
  CHECK(c.at_least(start) == 3'000);
  c.confirm({80'010, start + millis{10}, start + millis{10}});
  CHECK(c.at_least(start + millis{10}) >= 80'000);
}

TEST_CASE(
    "No delay, order or rate makes a runner seem alive later or its clock further than it is") {
  std::mt19937 random(1);
  for (int round = 0; round < 2'000; ++round) {
    const double rate = 0.98 + 0.0005 * static_cast<double>(random() % 41);
    const millis uptime{static_cast<std::int64_t>(random() % 5'000)};
    runner_clock c;
    c.begin({reading_at(start, uptime, rate), start, start + millis{1}});
    instant now = start + millis{1};
    instant last_executed = start;
    for (int i = 0; i < 40; ++i) {
      const instant sent = now - millis{static_cast<std::int64_t>(random() % 100)};
      const instant executed = sent + millis{static_cast<std::int64_t>(random() % 2'000)};
      now = std::max(now, executed) + millis{static_cast<std::int64_t>(random() % 3'000)};
      last_executed = std::max(last_executed, executed);
      const clock_reading reading{reading_at(executed, uptime, rate), sent, now};
      if (random() % 2 == 0) {
        c.confirm(reading);
      } else {
        REQUIRE(c.compare(reading) != same_incarnation::no);
      }
      REQUIRE(c.alive_at() <= last_executed);
      REQUIRE(c.at_least(now) <= reading_at(now, uptime, rate));
    }
  }
}

TEST_CASE("An incarnation that began after the last proof never passes for the same one") {
  std::mt19937 random(2);
  for (int round = 0; round < 20'000; ++round) {
    const millis uptime{static_cast<std::int64_t>(random() % 60'000)};
    const millis transit{static_cast<std::int64_t>(random() % 3'000)};
    runner_clock c;
    const instant executed = start + millis{static_cast<std::int64_t>(random() % 1'000)};
    c.begin({reading_at(executed, uptime), start, executed + transit});
    const instant born = executed + millis{static_cast<std::int64_t>(random() % 1'000)};
    const instant read = born + millis{static_cast<std::int64_t>(random() % 60'000)};
    const instant received = read + millis{static_cast<std::int64_t>(random() % 3'000)};
    REQUIRE(c.compare({(read - born).value, start, received}) != same_incarnation::yes);
  }
}

}  // namespace
}  // namespace monsoonmux::cell
