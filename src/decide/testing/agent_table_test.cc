#include "decide/agent_table.h"

#include <catch2/catch.hpp>

namespace monsoonmux::cell {
namespace {

constexpr instant start{10'000};
const domain_id here("here");
const domain_id there("there");

agent_options always() {
  return {.max_direct_runners = 0};
}

void list_runners(agent_table& table, int count, const domain_id& domain) {
  for (int i = 0; i < count; ++i) {
    table.runner_listed(domain.text + std::to_string(i), domain);
    (void)table.agent_of(domain.text + std::to_string(i), start);
  }
}

TEST_CASE("A leader of few runners calls them directly") {
  agent_table table({.max_direct_runners = 2});
  table.on_hello("a", here, 1, start);
  list_runners(table, 2, here);
  CHECK_FALSE(table.agent_of("here0", start));
  table.runner_listed("one more", here);
  CHECK(table.agent_of("here0", start) == "a");
}

TEST_CASE("Runners are assigned by the relative capacity of hosts, and weak hosts get none") {
  agent_table table(always());
  table.on_hello("strong", here, 1, start);
  table.on_hello("half", here, 0.5, start);
  table.on_hello("weak", here, 0.05, start);
  list_runners(table, 300, here);
  CHECK(table.assigned_count("strong") == 200);
  CHECK(table.assigned_count("half") == 100);
  CHECK(table.assigned_count("weak") == 0);
}

TEST_CASE("A runner gets an agent of its own failure domain until that is much fuller") {
  agent_table table(always());
  table.on_hello("a", here, 1, start);
  table.on_hello("b", there, 1, start);
  for (int i = 0; i < 80; ++i) {
    for (const domain_id& domain : {here, there}) {
      const std::string runner = domain.text + std::to_string(i);
      table.runner_listed(runner, domain);
      CHECK(table.agent_of(runner, start) == (domain == here ? "a" : "b"));
    }
  }
  agent_table uneven(always());
  uneven.on_hello("a", here, 1, start);
  uneven.on_hello("b", there, 1, start);
  list_runners(uneven, 90, here);
  CHECK(uneven.assigned_count("a") == 60);
  CHECK(uneven.assigned_count("b") == 30);
}

TEST_CASE("The leader calls a runner directly after a command through its agent got no answer") {
  const agent_options options = always();
  agent_table table(options);
  table.on_hello("a", here, 1, start);
  list_runners(table, 2, here);
  table.command_unanswered("here0", start);
  CHECK_FALSE(table.agent_of("here0", start));
  CHECK(table.agent_of("here1", start) == "a");
  table.on_hello("a", here, 1, start + options.direct_after_unanswered);
  CHECK(table.agent_of("here0", start + options.direct_after_unanswered) == "a");
}

TEST_CASE("A runner keeps its agent until that is disconnected or unresponsive") {
  const agent_options options = always();
  agent_table table(options);
  table.on_hello("a", here, 1, start);
  list_runners(table, 1, here);
  table.on_hello("b", here, 1, start);
  CHECK(table.agent_of("here0", start) == "a");
  table.connection_lost("a", start);
  CHECK(table.agent_of("here0", start) == "b");
  CHECK(table.assigned_count("a") == 0);
  CHECK_FALSE(table.agent_of("here0", start + options.heartbeat_timeout));  // No hello is recent.
  table.on_hello("a", here, 1, start + options.avoid_disconnected_for);
  CHECK(table.agent_of("here0", start + options.avoid_disconnected_for) == "a");
}

}  // namespace
}  // namespace monsoonmux::cell
