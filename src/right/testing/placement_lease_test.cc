#include "right/placement_lease.h"

#include <catch2/catch.hpp>

#include "right/elector.h"

namespace monsoonmux {
namespace {

const std::vector<worker_id> three = {worker_id("a"), worker_id("b"), worker_id("c")};
constexpr placement_lease_options options{{4'000}, {200}};
constexpr instant start{100'000};

placement_lease_answer yes(std::int64_t recorded) {
  return {true, {recorded}, {60'000}};
}

// Both rounds with the given electors at one instant.
void acquire(placement_lease& right, instant now, std::initializer_list<const char*> names) {
  for (int pass = 0; pass < 2; ++pass) {
    const epoch number = right.proposal(now);
    for (const char* name : names) {
      right.on_answer(worker_id(name), right.round(), now, yes(number.value));
    }
  }
}

}  // namespace

TEST_CASE("a majority with the recorded epoch holds the right until its grants end") {
  placement_lease right(three, options);
  CHECK(right.held_until() == instant{});
  acquire(right, start, {"a", "b"});
  CHECK(right.held_until() == start + millis{3'800});
  CHECK(right.number().value == 1);
}

TEST_CASE("a minority holds nothing") {
  placement_lease right(three, options);
  acquire(right, start, {"a"});
  CHECK(right.held_until() == instant{});
  CHECK(right.proposal(start).value == 0);
}

TEST_CASE("an elector that just started does not count") {
  placement_lease right(three, options);
  right.proposal(start);
  right.on_answer(worker_id("a"), right.round(), start, {true, {}, {3'999}});
  right.on_answer(worker_id("b"), right.round(), start, yes(0));
  CHECK(right.proposal(start).value == 0);
}

TEST_CASE("a worker that is no elector does not count") {
  placement_lease right(three, options);
  acquire(right, start, {"a", "x"});
  CHECK(right.held_until() == instant{});
}

TEST_CASE("a lapsed majority starts again, and late answers to the old round are void") {
  placement_lease right(three, options);
  acquire(right, start, {"a", "b"});
  const auto old_round = right.round();
  const instant later = start + millis{4'000};
  CHECK(right.proposal(later).value == 0);
  right.on_answer(worker_id("a"), old_round, later, yes(1));
  right.on_answer(worker_id("b"), old_round, later, yes(1));
  CHECK(right.held_until() == instant{});
  acquire(right, later, {"a", "b"});
  CHECK(right.number().value == 2);
}

TEST_CASE("an epoch seen elsewhere forces a higher one") {
  placement_lease right(three, options);
  acquire(right, start, {"a", "b"});
  right.raise({7});
  CHECK(right.held_until() == instant{});
  acquire(right, start, {"a", "b"});
  CHECK(right.number().value == 8);
}

TEST_CASE("an elector serves one holder until its grant ends") {
  elector e(instant{0});
  const placement_lease_request x{domain_id("d"), "x", {1'000}, {0}};
  const placement_lease_request y{domain_id("d"), "y", {1'000}, {0}};
  CHECK(e.on_request(x, {10'000}).granted);
  CHECK_FALSE(e.on_request(y, {10'999}).granted);
  CHECK(e.on_request(y, {11'000}).granted);
  placement_lease_request give_back = y;
  give_back.ttl = {};
  e.on_request(give_back, {11'001});
  CHECK(e.on_request(x, {11'001}).granted);
}

}  // namespace monsoonmux
