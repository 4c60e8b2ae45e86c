#include "right/placement_lease.h"

#include <catch2/catch.hpp>

#include "right/elector.h"

namespace monsoonmux {
namespace {

const std::vector<worker_id> three_electors = {worker_id("a"), worker_id("b"), worker_id("c")};
constexpr placement_lease_options options{{4'000}, {200}};
constexpr instant start{100'000};

placement_lease_answer grant_answer(std::int64_t recorded) {
  return {true, {recorded}, {60'000}};
}

// Completes both rounds with the given electors at one instant.
void acquire(placement_lease& lease, instant now, std::initializer_list<const char*> names) {
  for (int pass = 0; pass < 2; ++pass) {
    const epoch number = lease.proposal(now);
    for (const char* name : names) {
      lease.on_answer(worker_id(name), lease.round(), now, grant_answer(number.value));
    }
  }
}

}  // namespace

TEST_CASE("a majority that recorded the epoch gives the lease until its grants end") {
  placement_lease lease(three_electors, options);
  CHECK(lease.held_until() == instant{});
  acquire(lease, start, {"a", "b"});
  CHECK(lease.held_until() == start + millis{3'800});
  CHECK(lease.number().value == 1);
}

TEST_CASE("grants of a minority do not give the lease") {
  placement_lease lease(three_electors, options);
  acquire(lease, start, {"a"});
  CHECK(lease.held_until() == instant{});
  CHECK(lease.proposal(start).value == 0);
}

TEST_CASE("the grant of an elector that has just started is not counted") {
  placement_lease lease(three_electors, options);
  lease.proposal(start);
  lease.on_answer(worker_id("a"), lease.round(), start, {true, {}, {3'999}});
  lease.on_answer(worker_id("b"), lease.round(), start, grant_answer(0));
  CHECK(lease.proposal(start).value == 0);
}

TEST_CASE("the grant of a worker that is not an elector is not counted") {
  placement_lease lease(three_electors, options);
  acquire(lease, start, {"a", "x"});
  CHECK(lease.held_until() == instant{});
}

TEST_CASE("after the majority has expired, acquisition restarts and late answers are ignored") {
  placement_lease lease(three_electors, options);
  acquire(lease, start, {"a", "b"});
  const auto old_round = lease.round();
  const instant later = start + millis{4'000};
  CHECK(lease.proposal(later).value == 0);
  lease.on_answer(worker_id("a"), old_round, later, grant_answer(1));
  lease.on_answer(worker_id("b"), old_round, later, grant_answer(1));
  CHECK(lease.held_until() == instant{});
  acquire(lease, later, {"a", "b"});
  CHECK(lease.number().value == 2);
}

TEST_CASE("an epoch seen elsewhere ends the lease and forces a larger epoch") {
  placement_lease lease(three_electors, options);
  acquire(lease, start, {"a", "b"});
  lease.raise({7});
  CHECK(lease.held_until() == instant{});
  acquire(lease, start, {"a", "b"});
  CHECK(lease.number().value == 8);
}

TEST_CASE("an elector has one holder until the grant expires or is released") {
  elector e(instant{0});
  const placement_lease_request x{domain_id("d"), "x", {1'000}, {0}};
  const placement_lease_request y{domain_id("d"), "y", {1'000}, {0}};
  CHECK(e.on_request(x, {10'000}).granted);
  CHECK_FALSE(e.on_request(y, {10'999}).granted);
  CHECK(e.on_request(y, {11'000}).granted);
  placement_lease_request release = y;
  release.ttl = {};
  e.on_request(release, {11'001});
  CHECK(e.on_request(x, {11'001}).granted);
}

}  // namespace monsoonmux
