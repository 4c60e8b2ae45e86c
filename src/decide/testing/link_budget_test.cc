#include "decide/link_budget.h"

#include <catch2/catch.hpp>
#include <random>

namespace monsoonmux::cell {
namespace {

constexpr double rate = 100'000;  // Bytes per second.
constexpr millis burst{50};

TEST_CASE("Messages within the burst are sent at once, later ones at the rate") {
  link_budget budget(rate, burst);
  const instant start{1'000};
  constexpr std::size_t burst_bytes = 5'000;
  CHECK(budget.delay(start) == millis{0});
  budget.spend(burst_bytes, start);
  CHECK(budget.delay(start) == millis{0});
  budget.spend(burst_bytes, start);
  CHECK(budget.delay(start) == burst);
  CHECK(budget.delay(start + millis{49}) == millis{1});
  CHECK(budget.delay(start + burst) == millis{0});
}

TEST_CASE("In any interval no more is sent than the rate, the burst and one message allow") {
  std::mt19937 random(1);
  link_budget budget(rate, burst);
  constexpr std::size_t largest = 3'000;
  std::vector<std::size_t> sent;  // By millisecond.
  for (instant now{0}; now < instant{3'000}; now = now + millis{1}) {
    std::size_t bytes = 0;
    while (random() % 8 != 0 && budget.delay(now) == millis{0}) {
      const std::size_t message = 1 + random() % largest;
      budget.spend(message, now);
      bytes += message;
    }
    sent.push_back(bytes);
  }
  const double per_ms = rate / 1'000;
  for (std::size_t from = 0; from < sent.size(); from += 7) {
    double sum = 0;
    for (std::size_t to = from; to < sent.size(); ++to) {
      sum += static_cast<double>(sent[to]);
      const double allowed = per_ms * static_cast<double>(to - from + 1 + burst.value) + largest;
      REQUIRE(sum <= allowed);
    }
  }
}

TEST_CASE("A message larger than the burst is sent whole and delays the next one") {
  link_budget budget(rate, burst);
  const instant start{5'000};
  constexpr std::size_t large = 105'000;
  budget.spend(large, start);
  CHECK(budget.delay(start) == millis{1'000});
  CHECK(budget.available(start, millis{1'000}) == 0);
  CHECK(budget.available(start, millis{1'200}) == 20'000);
}

}  // namespace
}  // namespace monsoonmux::cell
