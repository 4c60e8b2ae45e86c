// Guards against LOST: a task that crashes its runners late is taken for harmless too early, so
// that it is never given up and goes on crashing runners beside other work.

#include <catch2/catch.hpp>

#include "cell/testing/cell_checks.h"

namespace monsoonmux::cell {
namespace {

constexpr std::uint32_t seeds = 4;

struct crash_time_fixture {
  crash_time_fixture(std::uint32_t seed, bool agents)
      : cell(4, 8, seed, agents ? through_agents() : fake_cell::short_leases()) {
    constexpr millis settle_time{4'000};
    this->cell.loop.run_for(settle_time + millis{seed * 170});
    REQUIRE(this->cell.leader() >= 0);
    job_spec spec = fake_cell::simple_job(1);
    spec.steps[0].long_running = true;
    this->cell.submit(this->cell.leader(), job_name(0), spec);
    this->await_run();
  }

  fake_cell::node& leader() {
    return *this->cell.nodes[static_cast<std::size_t>(this->cell.leader())];
  }
  // The runner on which the task runs; null: it does not run.
  fake_runner* busy_runner() {
    for (auto& runner : this->cell.runners) {
      if (!this->cell.history.on_runner[runner->entry.id].empty()) {
        return runner.get();
      }
    }
    return nullptr;
  }
  void await_run() {
    constexpr millis step{100};
    constexpr millis longest{30'000};
    const instant until = this->cell.loop.now() + longest;
    while (this->busy_runner() == nullptr && this->cell.loop.now() < until) {
      this->cell.loop.run_for(step);
    }
    REQUIRE(this->busy_runner() != nullptr);
  }
  void crash_for(millis time) {
    fake_runner* const runner = this->busy_runner();
    REQUIRE(runner != nullptr);
    runner->crash_time = time;
    runner->crash_for_a_while();
  }
  // Kills the leader and runs until there is another one.
  void change_leader() {
    this->leader().kill();
    constexpr millis step{50};
    constexpr millis longest{30'000};
    const instant until = this->cell.loop.now() + longest;
    while (this->cell.leader() < 0 && this->cell.loop.now() < until) {
      this->cell.loop.run_for(step);
    }
    REQUIRE(this->cell.leader() >= 0);
  }
  std::int64_t count(const std::string& name) {
    std::int64_t sum = 0;
    for (const auto& node : this->cell.nodes) {
      for (const auto& [label, count] : node->metrics.counts_of(name)) {
        sum += count;
      }
    }
    return sum;
  }

  fake_cell cell;
};

void for_all_seeds(const std::function<void(crash_time_fixture&)>& play) {
  for (const bool agents : {false, true}) {
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
      INFO("seed " << seed << ", agents " << agents);
      crash_time_fixture f(seed, agents);
      play(f);
      check_history(f.cell);
    }
  }
}

TEST_CASE("A task whose crashes are found late is watched for as long as they took to come") {
  for_all_seeds([](crash_time_fixture& f) {
    constexpr millis until_crash{10'000};
    constexpr millis found_late{12'000};  // The leases are over by then, and the task runs again.
    constexpr millis found_soon{3'000};
    f.cell.loop.run_for(until_crash);
    f.crash_for(found_late);
    f.cell.loop.run_for(found_late);
    f.await_run();
    f.cell.loop.run_for(until_crash);
    f.crash_for(found_late);
    f.await_run();
    f.crash_for(found_soon);
    f.cell.loop.run_for(found_soon + millis{2'000});
    f.await_run();
    f.cell.loop.run_for(until_crash - millis{3'000});
    REQUIRE(f.count("crashes_under_tasks") == 3);
    CHECK(f.count("tasks_acquitted") == 0);
  });
}

TEST_CASE("A crash right after a change of the leader does not say how long the run had lasted") {
  for_all_seeds([](crash_time_fixture& f) {
    constexpr millis found_soon{3'000};
    constexpr millis restart_time{5'000};
    f.crash_for(found_soon);
    f.cell.loop.run_for(restart_time);
    f.await_run();
    constexpr millis until_lost{6'000};
    f.cell.loop.run_for(until_lost);
    f.change_leader();
    f.crash_for(found_soon);
    f.cell.loop.run_for(restart_time);
    f.await_run();
    constexpr millis shorter_than_usual{6'000};
    f.cell.loop.run_for(shorter_than_usual);
    CHECK(f.count("tasks_acquitted") == 0);
  });
}

}  // namespace
}  // namespace monsoonmux::cell
