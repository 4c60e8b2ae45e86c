// Runners that start whatever they are told get no more than their capacity, although leaders
// change while starts are on their way, runs are being stopped and entries are missing.

#include <catch2/catch.hpp>

#include "cell/testing/full_cell.h"
#include "cell/testing/seeded_plays.h"

namespace monsoonmux::cell {
namespace {

constexpr resources room_for_two{millicores{2'000}, mebibytes{4'000}, devices{0}};
const std::string gang_prefix = "gang";

// The sum over the plays of a test.
full_cell_figures figures;

void play_without_tickets(std::uint32_t seed, bool with_agents) {
  figures += play_full_cell(seed, with_agents, {});
}

void play_with_tickets(std::uint32_t seed, bool with_agents) {
  full_cell_options options;
  options.with_tickets = true;
  figures += play_full_cell(seed, with_agents, options);
}

void play_gangs(std::uint32_t seed, bool with_agents) {
  full_cell_options options;
  options.gang_prefix = gang_prefix;
  figures += play_full_cell(seed, with_agents, options);
}

void play_gangs_with_tickets(std::uint32_t seed, bool with_agents) {
  full_cell_options options;
  options.with_tickets = true;
  options.gang_prefix = gang_prefix;
  figures += play_full_cell(seed, with_agents, options);
}

void play_all(void (*play)(std::uint32_t seed, bool with_agents)) {
  figures = {};
  play_seeds(6, play);
  check_figures(figures);
}

// One runner with room for two tasks. The starts of two are `way` on their way when their leader is
// killed, and others wait for the successor.
void play_starts_on_their_way(millis way, bool with_agents) {
  INFO("way of " << way.value << " ms" << (with_agents ? ", through agents" : ""));
  fake_cell cell(3, 1, 1, with_agents ? through_agents() : daemon_options{});
  fake_runner& runner = *cell.runners[0];
  runner.entry.capacity = room_for_two;
  runner.late_starts = 1;
  runner.shortest_delay = way;
  runner.delay_span = millis{1};
  constexpr millis until_sent{100};
  cell.loop.run_for(boot_time);
  const int leader = cell.leader();
  REQUIRE(leader >= 0);
  cell.submit(leader, job_name(0), fake_cell::simple_job(2));
  cell.loop.run_for(until_sent);
  REQUIRE(cell.accepted.contains(job_name(0)));
  cell.nodes[static_cast<std::size_t>(leader)]->kill();
  runner.late_starts = 0;
  runner.task_time = millis{4'000};
  cell.submit((leader + 1) % 3, job_name(1), fake_cell::simple_job(4));
  cell.submit((leader + 2) % 3, job_name(2), fake_cell::simple_job(4));
  cell.loop.run_for(millis{40'000});
  check_history(cell);
  CHECK(cell.phase(job_name(0)) == job_phase::completed);
}

TEST_CASE("A successor does not fill the room of starts that are on their way") {
  const bool with_agents = GENERATE(false, true);
  constexpr int longest_way_ms = 8'000;
  constexpr int step_ms = 250;
  for (int way_ms = step_ms; way_ms <= longest_way_ms; way_ms += step_ms) {
    play_starts_on_their_way(millis{way_ms}, with_agents);
  }
}

TEST_CASE("Takeovers give full runners no more than their capacity") {
  play_all(play_without_tickets);
}

TEST_CASE("Takeovers and restarts give full runners no more than their capacity") {
  play_all(play_with_tickets);
}

TEST_CASE("Takeovers give full runners no more than their capacity beside gangs") {
  play_all(play_gangs);
}

TEST_CASE("Restarts of a gang's runners give full runners no more than their capacity") {
  play_all(play_gangs_with_tickets);
}

}  // namespace
}  // namespace monsoonmux::cell
