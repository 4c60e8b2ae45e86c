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
constexpr int rounds = 6;
constexpr millis task_time{4'000};
constexpr millis between_outages{12'000};
const std::string lasting = "lasting";

void start_lasting_tasks(outage_cell& f) {
  for (auto& runner : f.cell.runners) {
    runner->task_time = task_time;
  }
  f.submit(lasting, outage_cell::lasting_job(lasting_tasks));
  f.pass_with_load(outage_cell::leader_lost_after);
  REQUIRE(f.cell.history.running_of(lasting) == lasting_tasks);
}

void check_lasting(outage_cell& f, int tasks = lasting_tasks) {
  f.check_calm();
  INFO(f.counted() << " crashes were counted in all");
  CHECK(f.cell.phase(lasting) == job_phase::running);
  CHECK(f.cell.history.running_of(lasting) == tasks);
}

TEST_CASE("Outages in which all entries lapse and the leader is lost count as no crashes") {
  play_outages(seeds, runner_count, [](outage_cell& f, std::uint32_t) {
    start_lasting_tasks(f);
    for (int i = 0; i < rounds; ++i) {
      f.begin_some_outage();
      f.kill_leader_after(outage_cell::leader_lost_after);
      f.pass_with_load(between_outages);
    }
    check_lasting(f);
  });
}

// The successor closes runs whose leases are over before it has read the list.
TEST_CASE("Outages in which all entries stay and the leader is lost count as no crashes") {
  play_outages(seeds, runner_count, [](outage_cell& f, std::uint32_t) {
    f.registrar.lapse_in_outages = false;
    start_lasting_tasks(f);
    for (int i = 0; i < rounds; ++i) {
      f.begin_some_outage();
      f.kill_leader_after(outage_cell::leader_lost_after);
      f.pass_with_load(between_outages);
    }
    check_lasting(f);
  });
}

TEST_CASE("Outages in which all entries lapse count as no crashes") {
  play_outages(seeds, runner_count, [](outage_cell& f, std::uint32_t) {
    start_lasting_tasks(f);
    for (int i = 0; i < rounds; ++i) {
      f.begin_some_outage();
      f.pass_with_load(between_outages);
    }
    check_lasting(f);
  });
}

TEST_CASE("Nobody is given up because a third of the runners crash in an outage with a takeover") {
  play_outages(seeds, runner_count, [](outage_cell& f, std::uint32_t) {
    constexpr int crash_rounds = 3;
    constexpr std::int64_t latest_ms = 3'500;
    start_lasting_tasks(f);
    for (int i = 0; i < crash_rounds; ++i) {
      f.begin_some_outage();
      f.kill_leader_after(outage_cell::leader_lost_after);
      f.pass_with_load(millis{1'000 + static_cast<std::int64_t>(f.cell.random() % latest_ms)});
      const std::size_t first = f.cell.random() % 3;
      for (std::size_t r = first; r < f.cell.runners.size(); r += 3) {
        f.cell.runners[r]->crash_for_a_while();
      }
      f.pass_with_load(between_outages);
    }
    check_lasting(f);
  });
}

TEST_CASE("A run that lapsed in an outage is no crash when its runner restarts much later") {
  play_outages(seeds, runner_count, [](outage_cell& f, std::uint32_t) {
    constexpr millis much_later{20'000};
    start_lasting_tasks(f);
    f.begin_outage();
    f.kill_leader_after(outage_cell::leader_lost_after);
    f.pass_with_load(between_outages + much_later);
    for (std::size_t i = 0; i < f.cell.runners.size(); i += 2) {
      f.cell.runners[i]->crash_for_a_while();
    }
    f.pass_with_load(between_outages);
    f.check_calm();
  });
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

TEST_CASE("A cut that hides a runner from the store and from all daemons counts as no crash") {
  play_outages(seeds, runner_count, [](outage_cell& f, std::uint32_t) {
    constexpr millis cut{8'000};
    pinned_task pinned(f);
    for (int i = 0; i < pinned_task::times; ++i) {
      f.hide(pinned.runner);
      f.pass_with_load(cut);
      f.reveal(pinned.runner);
      f.pass_with_load(pinned_task::present);
    }
    check_lasting(f, 1);
  });
}

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
