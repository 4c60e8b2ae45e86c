#include "decide/standby_choice.h"

#include <catch2/catch.hpp>

#include "decide/follow_policy.h"

namespace monsoonmux::cell {
namespace {

standby_candidate host(const std::string& name, const std::string& domain,
                       double relative_capacity) {
  return {name, domain_id(domain), relative_capacity};
}

using names = std::vector<std::string>;

TEST_CASE("The strongest host of each other failure domain comes first") {
  const auto chosen = choose_standbys(
      {host("a1", "a", 1), host("a2", "a", 1), host("b1", "b", 0.5), host("c1", "c", 0.6)},
      domain_id("a"), {.max_standbys = 3});
  CHECK(chosen == names{"c1", "b1", "a1"});
}

TEST_CASE("Weak hosts are not chosen beside strong ones") {
  const auto chosen = choose_standbys(
      {host("a1", "a", 1), host("b1", "b", 0.9), host("b2", "b", 0.02), host("c1", "c", 0.02)},
      domain_id("z"));
  CHECK(chosen == names{"a1", "b1"});
}

TEST_CASE("There are standbys even if all other hosts are weak") {
  const auto chosen = choose_standbys(
      {host("a1", "a", 1), host("b1", "b", 0.02), host("c1", "c", 0.03)}, domain_id("a"));
  CHECK(chosen == names{"a1", "c1"});
  CHECK(choose_standbys({}, domain_id("a")).empty());
}

TEST_CASE("The choice among equal hosts does not depend on their order") {
  const auto one = choose_standbys({host("x", "a", 1), host("y", "a", 1), host("z", "b", 1)},
                                   domain_id("c"), {.max_standbys = 2});
  const auto other = choose_standbys({host("z", "b", 1), host("y", "a", 1), host("x", "a", 1)},
                                     domain_id("c"), {.max_standbys = 2});
  CHECK(one == other);
}

TEST_CASE("A strong daemon follows from its start until a leader does not choose it") {
  const instant start{1'000};
  follow_policy policy("d", 1, start);
  CHECK(policy.follows(start));
  policy.on_leader_heartbeat(start, false);
  CHECK_FALSE(policy.follows(start));
  CHECK_FALSE(policy.follows(start + follow_options{}.strong_wait - millis{1}));
  CHECK(policy.follows(start + follow_options{}.strong_wait));
}

TEST_CASE("A weak daemon first waits whether a leader needs it") {
  const instant start{1'000};
  const follow_options options;
  follow_policy policy("d", 0.01, start);
  CHECK_FALSE(policy.follows(start + options.weak_wait - millis{1}));
  CHECK(policy.follows(start + options.weak_wait + options.weak_jitter));
  policy.on_leader_heartbeat(start, true);
  CHECK(policy.follows(start));
  policy.on_leader_heartbeat(start, false);
  CHECK(policy.follows(start + options.unfollow_delay - millis{1}));
  policy.on_leader_heartbeat(start + options.unfollow_delay, false);
  CHECK_FALSE(policy.follows(start + options.unfollow_delay));
}

TEST_CASE(
    "A daemon that is no longer chosen stops following, though later heartbeats omit the choice") {
  const instant start{1'000};
  follow_policy policy("d", 1, start);
  policy.on_leader_heartbeat(start, true);
  policy.on_leader_heartbeat(start + millis{100}, false);
  for (std::int64_t t = 200; t <= 5'000; t += 100) {
    policy.on_unchanged_leader_heartbeat(start + millis{t});
  }
  CHECK_FALSE(policy.follows(start + millis{5'000}));
}

TEST_CASE("A daemon that has not received the leader's choice yet continues as before") {
  const instant start{1'000};
  follow_policy policy("d", 1, start);
  policy.on_unchanged_leader_heartbeat(start + millis{100});
  CHECK(policy.follows(start + millis{1'000}));
  policy.on_leader_heartbeat(start + millis{1'000}, false);
  for (std::int64_t t = 1'100; t <= 5'000; t += 100) {
    policy.on_unchanged_leader_heartbeat(start + millis{t});
  }
  CHECK_FALSE(policy.follows(start + millis{5'000}));
}

}  // namespace
}  // namespace monsoonmux::cell
