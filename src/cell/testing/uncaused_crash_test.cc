// Guards against LOST: a crash is counted under a task although no runner crashed under it.

#include <catch2/catch.hpp>

#include "cell/testing/cell_checks.h"

namespace monsoonmux::cell {
namespace {

constexpr std::uint32_t seeds = 4;
// After so long out of contact the leases of a runner are over, and its runs are given up.
constexpr millis lapse_time{12'000};

job_spec lasting_job(int tasks) {
  job_spec spec = fake_cell::simple_job(tasks);
  spec.steps[0].long_running = true;
  return spec;
}

struct crash_fixture {
  explicit crash_fixture(std::uint32_t seed, bool agents = false)
      : cell(4, 8, seed, agents ? through_agents() : fake_cell::short_leases()) {
    constexpr millis settle_time{4'000};
    this->cell.loop.run_for(settle_time + millis{seed * 170});
    REQUIRE(this->cell.leader() >= 0);
  }

  fake_cell::node& leader() {
    return *this->cell.nodes[static_cast<std::size_t>(this->cell.leader())];
  }
  void submit(const job_spec& spec) {
    this->cell.submit(this->cell.leader(), job_name(0), spec);
    constexpr millis start_time{500};
    this->cell.loop.run_for(start_time);
  }
  // A runner on which a task of the job runs; null: there is none.
  fake_runner* busy_runner() {
    for (auto& runner : this->cell.runners) {
      if (!this->cell.history.on_runner[runner->entry.id].empty()) {
        return runner.get();
      }
    }
    return nullptr;
  }
  void cut_off(fake_runner& runner) {
    for (const auto& node : this->cell.nodes) {
      runner.partitioned.insert(node->name);
    }
  }
  // The runner is out of all daemons' reach until its runs are given up. It stays in the list.
  void let_lapse(fake_runner& runner) {
    this->cut_off(runner);
    this->cell.loop.run_for(lapse_time);
    runner.partitioned.clear();
    constexpr millis rest{2'000};
    this->cell.loop.run_for(rest);
  }
  // Restarts the runner as planned work does: what has run on it has ended before.
  void replace(fake_runner& runner) {
    runner.crash_for_a_while();
    this->cell.loop.run_for(runner.crash_time + millis{1'500});
  }
  // The job's only task runs, and must be alone since its runners have crashed so often.
  void run_until_alone() {
    for (auto& runner : this->cell.runners) {
      runner->task_time = millis{60'000};
    }
    this->submit(fake_cell::simple_job(1));
    constexpr millis back_and_started{8'000};
    for (int i = 0; i < crashes_until_alone; ++i) {
      REQUIRE(this->busy_runner() != nullptr);
      this->busy_runner()->crash_for_a_while();
      this->cell.loop.run_for(back_and_started);
    }
    REQUIRE(this->crashes_counted() == crashes_until_alone);
  }
  std::int64_t crashes_counted() {
    std::int64_t sum = 0;
    for (const auto& node : this->cell.nodes) {
      for (const auto& [name, count] : node->metrics.counts_of("crashes_under_tasks")) {
        sum += count;
      }
    }
    return sum;
  }

  fake_cell cell;
};

void for_all_seeds(const std::function<void(crash_fixture&)>& play) {
  for (const bool agents : {false, true}) {
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
      INFO("seed " << seed << ", agents " << agents);
      crash_fixture f(seed, agents);
      play(f);
      check_history(f.cell);
    }
  }
}

TEST_CASE("A run that lapsed on a runner that ran on is no crash when that runner restarts later") {
  for_all_seeds([](crash_fixture& f) {
    f.submit(lasting_job(1));
    fake_runner* const cut = f.busy_runner();
    REQUIRE(cut != nullptr);
    f.let_lapse(*cut);
    REQUIRE(f.busy_runner() != nullptr);
    REQUIRE(f.busy_runner() != cut);
    constexpr millis later{60'000};
    f.cell.loop.run_for(later);
    f.replace(*cut);
    CHECK(f.crashes_counted() == 0);
  });
}

TEST_CASE("A lasting task is not given up because runners restart that it has left long before") {
  for_all_seeds([](crash_fixture& f) {
    f.submit(lasting_job(1));
    std::vector<fake_runner*> left;
    for (int i = 0; i < max_crashes; ++i) {
      left.push_back(f.busy_runner());
      REQUIRE(left.back() != nullptr);
      f.cut_off(*left.back());
      f.cell.loop.run_for(lapse_time);
    }
    for (fake_runner* const runner : left) {
      runner->partitioned.clear();
    }
    constexpr millis later{60'000};
    f.cell.loop.run_for(later);
    for (fake_runner* const runner : left) {
      if (runner != f.busy_runner()) {
        f.replace(*runner);
      }
    }
    CHECK(f.crashes_counted() == 0);
    CHECK(f.cell.phase(job_name(0)) == job_phase::running);
  });
}

TEST_CASE("A run that lapses while its runner's entry is unreadable is no crash") {
  for_all_seeds([](crash_fixture& f) {
    f.submit(lasting_job(1));
    fake_runner* const cut = f.busy_runner();
    REQUIRE(cut != nullptr);
    f.cell.store.put("runners", cut->entry.id, fake_sources::unreadable);
    f.let_lapse(*cut);
    f.cell.store.put("runners", cut->entry.id, "1");
    constexpr millis rest{3'000};
    f.cell.loop.run_for(rest);
    CHECK(f.crashes_counted() == 0);
  });
}

TEST_CASE("A run that lapsed is no crash if a successor cannot read its runner's entry") {
  for_all_seeds([](crash_fixture& f) {
    f.submit(lasting_job(1));
    fake_runner* const cut = f.busy_runner();
    REQUIRE(cut != nullptr);
    f.cut_off(*cut);
    // The task starts nowhere else before the takeover, so its record still has the suspicion.
    for (auto& runner : f.cell.runners) {
      f.cell.store.put("runners", runner->entry.id, fake_sources::unreadable);
    }
    f.cell.loop.run_for(lapse_time);
    f.leader().kill();
    constexpr millis takeover_and_more{15'000};
    f.cell.loop.run_for(takeover_and_more);
    CHECK(f.crashes_counted() == 0);
  });
}

TEST_CASE("A run that lapsed is no crash because an entry does not name its runner's incarnation") {
  for_all_seeds([](crash_fixture& f) {
    f.submit(lasting_job(1));
    fake_runner* const cut = f.busy_runner();
    REQUIRE(cut != nullptr);
    f.let_lapse(*cut);
    f.cell.store.put("runners", cut->entry.id, fake_sources::unborn);
    constexpr millis reading{400};
    f.cell.loop.run_for(reading);
    f.cell.store.put("runners", cut->entry.id, "1");
    constexpr millis rest{3'000};
    f.cell.loop.run_for(rest);
    CHECK(f.crashes_counted() == 0);
  });
}

TEST_CASE("A lasting task that has run for a minute is not blamed after a change of the leader") {
  for_all_seeds([](crash_fixture& f) {
    f.submit(lasting_job(1));
    constexpr millis minute{60'000};
    f.cell.loop.run_for(minute);
    f.leader().kill();
    constexpr millis takeover_time{5'000};
    f.cell.loop.run_for(takeover_time);
    REQUIRE(f.busy_runner() != nullptr);
    f.replace(*f.busy_runner());
    constexpr millis rest{10'000};
    f.cell.loop.run_for(rest);
    CHECK(f.crashes_counted() == 0);
  });
}

TEST_CASE("A task that must be alone is not given up because its runner is out of reach") {
  for_all_seeds([](crash_fixture& f) {
    f.run_until_alone();
    REQUIRE(f.busy_runner() != nullptr);
    f.let_lapse(*f.busy_runner());
    CHECK(f.crashes_counted() == crashes_until_alone);
    CHECK(f.cell.phase(job_name(0)) == job_phase::running);
  });
}

TEST_CASE("A task that must be alone is not given up because its runner is hidden for a moment") {
  for_all_seeds([](crash_fixture& f) {
    f.run_until_alone();
    fake_runner* const cut = f.busy_runner();
    REQUIRE(cut != nullptr);
    f.cut_off(*cut);
    constexpr millis step{500};
    constexpr millis hidden{2'000};
    for (millis out{0}; out < lapse_time; out += hidden + step) {
      f.cell.store.put("runners", cut->entry.id, "");
      f.cell.loop.run_for(hidden);
      f.cell.store.put("runners", cut->entry.id, "1");
      f.cell.loop.run_for(step);
    }
    cut->partitioned.clear();
    constexpr millis rest{2'000};
    f.cell.loop.run_for(rest);
    CHECK(f.crashes_counted() == crashes_until_alone);
    CHECK(f.cell.phase(job_name(0)) == job_phase::running);
  });
}

TEST_CASE("A task that must be alone is not given up as the runner that it has left is hidden") {
  for_all_seeds([](crash_fixture& f) {
    f.run_until_alone();
    fake_runner* const cut = f.busy_runner();
    REQUIRE(cut != nullptr);
    f.cut_off(*cut);
    // The task is held until nothing is expected of the runner any more.
    constexpr millis started_elsewhere{20'000};
    f.cell.loop.run_for(started_elsewhere);
    REQUIRE(f.busy_runner() != nullptr);
    REQUIRE(f.busy_runner() != cut);
    f.cell.store.put("runners", cut->entry.id, "");
    constexpr millis hidden{2'000};
    f.cell.loop.run_for(hidden);
    f.cell.store.put("runners", cut->entry.id, "1");
    constexpr millis rest{2'000};
    f.cell.loop.run_for(rest);
    CHECK(f.crashes_counted() == crashes_until_alone);
    CHECK(f.cell.phase(job_name(0)) == job_phase::running);
  });
}

TEST_CASE("Runs that their runners end as lapsed are neither failures nor crashes") {
  for_all_seeds([](crash_fixture& f) {
    f.submit(lasting_job(8));
    // Each daemon's calls reach no runner, so that all leases lapse there; the entries stay.
    for (int i = 0; i < 5; ++i) {
      for (auto& runner : f.cell.runners) {
        f.cut_off(*runner);
      }
      constexpr millis until_lapse{6'100};
      f.cell.loop.run_for(until_lapse);
      for (auto& runner : f.cell.runners) {
        runner->partitioned.clear();
      }
      constexpr millis rest{3'000};
      f.cell.loop.run_for(rest);
    }
    CHECK(f.crashes_counted() == 0);
    CHECK(f.cell.phase(job_name(0)) == job_phase::running);
    CHECK(f.cell.history.running_of(job_name(0)) == 8);
  });
}

}  // namespace
}  // namespace monsoonmux::cell
