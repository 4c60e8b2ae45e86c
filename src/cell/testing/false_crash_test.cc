// Runners that are away and have not crashed: entries that lapse in outages of the store, cuts and
// planned leaves. Guards against LOST (issue 38): what was lost then was counted as crashes under
// innocent tasks, until their jobs were shown as failed.

#include <catch2/catch.hpp>

#include "cell/testing/outage_cell.h"

namespace monsoonmux::cell {
namespace {

constexpr std::uint32_t seeds = 4;
constexpr int runner_count = 9;
constexpr int lasting_tasks = 9;
const std::string lasting = "lasting";

void check_lasting(outage_cell& f, int tasks = lasting_tasks) {
  f.check_calm();
  INFO(f.counted() << " crashes were counted in all");
  CHECK(f.cell.phase(lasting) == job_phase::running);
  CHECK(f.cell.history.running_of(lasting) == tasks);
}

// The only runner of a kind, which one lasting task needs.
struct pinned_task {
  explicit pinned_task(outage_cell& f) : f(f), runner(*f.cell.runners.back()) {
    const std::string kind = "kind-b";
    this->runner.entry.labels = {kind};
    f.registrar.write(this->runner);
    f.cell.loop.run_for(millis{500});
    job_spec spec = outage_cell::lasting_job(1);
    spec.steps[0].required_label = kind;
    f.submit(lasting, spec);
    f.pass_with_load(present);
    REQUIRE(f.cell.history.running_of(lasting) == 1);
  }

  // The runner drains and leaves with its run, and is back as another incarnation.
  void leave_and_return(const std::function<void()>& draining, const std::function<void()>& left) {
    this->runner.entry.draining = true;
    f.registrar.write(this->runner);
    draining();
    f.pass_with_load(drain_time);
    this->runner.leave();
    f.registrar.remove(this->runner.entry.id);
    left();
    f.pass_with_load(away);
    this->runner.entry.draining = false;
    this->runner.restart();
    f.registrar.write(this->runner);
    f.pass_with_load(present);
  }

  static constexpr int times = 5;
  static constexpr millis present{5'000};
  static constexpr millis drain_time{3'000};
  static constexpr millis away{2'000};
  outage_cell& f;
  fake_runner& runner;
};

TEST_CASE("A planned leave counts as no crash") {
  play_outages(seeds, runner_count, [](outage_cell& f, std::uint32_t) {
    pinned_task pinned(f);
    for (int i = 0; i < pinned_task::times; ++i) {
      pinned.leave_and_return([] {}, [] {});
    }
    check_lasting(f, 1);
  });
}

TEST_CASE("A planned leave counts as no crash although the leader is lost while it drains") {
  play_outages(seeds, runner_count, [](outage_cell& f, std::uint32_t) {
    pinned_task pinned(f);
    for (int i = 0; i < pinned_task::times; ++i) {
      pinned.leave_and_return([&f] { f.kill_leader_after(millis{500}); }, [] {});
    }
    check_lasting(f, 1);
  });
}

TEST_CASE("A planned leave counts as no crash although the leader is lost when it has left") {
  play_outages(seeds, runner_count, [](outage_cell& f, std::uint32_t) {
    pinned_task pinned(f);
    for (int i = 0; i < pinned_task::times; ++i) {
      pinned.leave_and_return([] {}, [&f] { f.kill_leader_after(millis{100}); });
    }
    check_lasting(f, 1);
  });
}

}  // namespace
}  // namespace monsoonmux::cell
