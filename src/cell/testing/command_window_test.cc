// A leader's command window: what it sends to runners after its last renewal of the claim,
// and what its successor relies on.

#include <catch2/catch.hpp>

#include "cell/testing/cell_checks.h"

namespace monsoonmux::cell {
namespace {

constexpr millis long_task_time{60'000};
constexpr millis cut_times[] = {millis{14'000}, millis{20'000}, millis{30'000}};
constexpr std::uint32_t seeds = 5;

// A cell of three daemons and two runners, on each of which two tasks of a minute run.
// Runner 0 is to be cut off with the leader, and runner 1 is to stay with the others.
struct cut_fixture {
  cut_fixture(std::uint32_t seed, const daemon_options& options) : cell(3, 2, seed, options) {
    this->cell.loop.run_for(settle_time);
    for (auto& runner : this->cell.runners) {
      runner->task_time = long_task_time;
    }
    this->leader = this->cell.leader();
    REQUIRE(this->leader >= 0);
    this->cell.submit(this->leader, job_name(0), fake_cell::simple_job(4));
    this->cell.loop.run_for(millis{1'000});
    REQUIRE(this->cell.history.starts == 4);
  }

  // Cuts runner 0 and the daemons of `inside` from the log, the other runner and the other
  // daemons' commands. Peers are cut by isolate().
  void cut(const std::set<int>& inside) {
    for (int i = 0; i < 3; ++i) {
      const std::string& name = this->cell.nodes[static_cast<std::size_t>(i)]->name;
      if (inside.contains(i)) {
        this->cell.store.partitioned.insert(name);
        this->cell.runners[1]->partitioned.insert(name);
      } else {
        this->cell.runners[0]->partitioned.insert(name);
      }
    }
  }
  void isolate(int daemon) {
    this->cell.isolated.insert(this->cell.nodes[static_cast<std::size_t>(daemon)]->name);
  }
  void heal() {
    this->cell.store.partitioned.clear();
    this->cell.isolated.clear();
    for (auto& runner : this->cell.runners) {
      runner->partitioned.clear();
    }
  }
  int other(int offset) const { return (this->leader + offset) % 3; }
  // Checks that nothing ran twice, that the tasks of the cut runner started again, and that
  // all tasks end.
  void check_recovery() {
    this->cell.loop.run_for(millis{200'000});
    check_history(this->cell);
    CHECK(this->cell.history.starts == 6);
    CHECK(this->cell.phase(job_name(0)) == job_phase::completed);
  }

  static constexpr millis settle_time{6'000};
  fake_cell cell;
  int leader = -1;
};

void cut_leader_and_runner(const daemon_options& options) {
  for (const millis cut_time : cut_times) {
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
      INFO("cut for " << cut_time.value << " ms, seed " << seed);
      cut_fixture f(seed, options);
      f.cell.loop.run_for(millis{seed * 130});
      f.cut({f.leader});
      f.isolate(f.leader);
      f.cell.loop.run_for(cut_time);
      f.heal();
      f.check_recovery();
    }
  }
}

TEST_CASE("A leader cut off with one runner does not keep the leases of its runs alive") {
  cut_leader_and_runner({});
}

TEST_CASE("A leader that used agents and is cut off with one runner keeps no lease alive") {
  cut_leader_and_runner(through_agents());
}

TEST_CASE("A failure domain cut off with its leader, an agent and a runner runs no task twice") {
  for (const bool agents : {false, true}) {
    for (const millis cut_time : cut_times) {
      for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        INFO("cut for " << cut_time.value << " ms, seed " << seed << ", agents " << agents);
        cut_fixture f(seed, agents ? through_agents() : daemon_options{});
        f.cell.loop.run_for(millis{seed * 130});
        f.cut({f.leader, f.other(1)});
        f.isolate(f.other(2));
        f.cell.loop.run_for(cut_time);
        f.heal();
        f.check_recovery();
      }
    }
  }
}

TEST_CASE("A leader whose window is over sends no command and does not repeat it at once") {
  for (const bool agents : {false, true}) {
    INFO("agents " << agents);
    cut_fixture f(1, agents ? through_agents() : daemon_options{});
    fake_cell::node& node = *f.cell.nodes[static_cast<std::size_t>(f.leader)];
    f.cut({f.leader});
    f.isolate(f.leader);
    constexpr millis window{3'600};
    f.cell.loop.run_for(window);
    const std::int64_t sent = node.commands.sent;
    f.cell.loop.run_for(millis{10'000});
    CHECK(node.commands.sent == sent);
    // One poll of each runner, each time that an answer to an earlier one arrives.
    constexpr std::int64_t few = 6;
    CHECK(node.metrics.counts_of("commands_withheld")["commands_withheld"] >= 1);
    CHECK(node.metrics.counts_of("commands_withheld")["commands_withheld"] <= few);
    CHECK(node.metrics.counts_of("command_windows_ended")["command_windows_ended"] == 1);
  }
}

TEST_CASE("A leader that wakes late starts nothing at a runner that has restarted meanwhile") {
  const std::string task = job_name(0) + ".0.0.0";
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    INFO("seed " << seed);
    fake_cell cell(3, 1, seed);
    cell.loop.run_for(cut_fixture::settle_time);
    fake_runner& runner = *cell.runners[0];
    runner.task_time = millis{300};
    const int leader = cell.leader();
    REQUIRE(leader >= 0);
    cell.submit(leader, job_name(0), fake_cell::simple_job(1));
    // The start's record is on its way into the log.
    cell.loop.run_for(millis{8});
    REQUIRE(cell.history.starts == 0);
    cell.nodes[static_cast<std::size_t>(leader)]->process.freeze_until(cell.loop.now() +
                                                                       millis{2'800});
    cell.loop.run_for(millis{1'400});
    REQUIRE(cell.history.done.contains(task));
    // While this runs the successor polls, which acknowledges the first end.
    runner.task_time = long_task_time;
    cell.submit((leader + 1) % 3, job_name(1), fake_cell::simple_job(1));
    cell.loop.run_for(millis{1'300});
    REQUIRE(cell.history.done_acked.contains(task));
    runner.crash();
    cell.loop.run_for(millis{40});
    runner.restart();
    cell.loop.run_for(millis{5'000});
    check_history(cell);
  }
}

TEST_CASE("After a log outage longer than the command window the leader keeps its runs") {
  for (const bool agents : {false, true}) {
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
      INFO("seed " << seed << ", agents " << agents);
      cut_fixture f(seed, agents ? through_agents() : daemon_options{});
      f.cell.loop.run_for(millis{seed * 410});
      f.cell.store.down = true;
      f.cell.loop.run_for(millis{5'000});
      f.cell.store.down = false;
      f.cell.loop.run_for(millis{80'000});
      check_history(f.cell);
      CHECK(f.cell.history.starts == 4);
      CHECK(f.cell.phase(job_name(0)) == job_phase::completed);
    }
  }
}

}  // namespace
}  // namespace monsoonmux::cell
