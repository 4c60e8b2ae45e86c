#include <catch2/catch.hpp>

#include "member/candidacy.h"

namespace monsoonmux {
namespace {

heartbeat make_heartbeat(const std::string& domain, std::vector<placement_info> placing = {}) {
  heartbeat b;
  b.domain = domain_id(domain);
  b.placing = std::move(placing);
  return b;
}

}  // namespace

TEST_CASE("a member is alive while its heartbeats arrive, and an earlier incarnation is ignored") {
  membership table({domain_id("x")});
  table.on_heartbeat(daemon_id("a"), 5, make_heartbeat("x"), {0});
  table.on_heartbeat(daemon_id("a"), 4, make_heartbeat("y"), {100});
  CHECK(table.alive({2'500}).size() == 1);
  CHECK(table.find(daemon_id("a"))->last_heartbeat.domain == domain_id("x"));
  CHECK(table.alive({2'501}).empty());
  CHECK(table.all({2'501}).size() == 1);
  CHECK(table.all({700'000}).empty());
}

TEST_CASE("a member of another domain sends less often and is considered dead later") {
  membership table({domain_id("x")});
  table.on_heartbeat(daemon_id("a"), 1, make_heartbeat("y"), {0});
  CHECK(table.alive({12'500}).size() == 1);
  CHECK(table.alive({12'501}).empty());
}

TEST_CASE("one local daemon competes at once, the next a step later, other domains' daemons last") {
  membership table({domain_id("x"), {1'000'000}, {1'000'000}, {1'000'000}});
  for (const char* name : {"a", "b"}) {
    table.on_heartbeat(daemon_id(name), 1, make_heartbeat("x"), {0});
  }
  table.on_heartbeat(daemon_id("c"), 1, make_heartbeat("y"), {0});
  candidacy a(daemon_id("a"), domain_id("x"), {});
  candidacy b(daemon_id("b"), domain_id("x"), {});
  candidacy c(daemon_id("c"), domain_id("y"), {});
  const auto tries = [&](std::int64_t t) {
    const auto alive = table.alive({t});
    return std::make_tuple(
        a.should_compete(domain_id("x"), alive, {t}) + b.should_compete(domain_id("x"), alive, {t}),
        c.should_compete(domain_id("x"), alive, {t}));
  };
  CHECK(tries(0) == std::make_tuple(1, false));
  CHECK(tries(1'500) == std::make_tuple(2, false));
  CHECK(tries(11'000) == std::make_tuple(2, true));
  table.on_heartbeat(daemon_id("b"), 1, make_heartbeat("x", {{domain_id("x"), {1}, true, {}, 0}}),
                     {11'000});
  CHECK_FALSE(a.should_compete(domain_id("x"), table.alive({11'001}), {11'001}));
  CHECK(b.should_compete(domain_id("x"), table.alive({11'001}), {11'001}));
}

}  // namespace monsoonmux
