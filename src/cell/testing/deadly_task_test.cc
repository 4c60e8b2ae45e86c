// Tasks that crash each runner that starts them. The users' bound: after three runners have
// crashed under a task it is started twice more at most. Others are not given up for it.

#include <catch2/catch.hpp>

#include "cell/testing/cell_checks.h"
#include "cell/testing/crash_check.h"

namespace monsoonmux::cell {
namespace {

constexpr std::uint32_t seeds = 4;
constexpr millis longest_play{120'000};
constexpr int runner_count = 8;

struct deadly_fixture {
  explicit deadly_fixture(std::uint32_t seed,
                          const daemon_options& options = fake_cell::short_leases(),
                          int runners = runner_count)
      : cell(4, runners, seed, options) {
    constexpr millis settle_time{4'000};
    this->cell.loop.run_for(settle_time + millis{seed * 170});
    REQUIRE(this->cell.leader() >= 0);
  }

  // Crashes of its runners are all that the job's tasks do.
  void submit_deadly(int number, const job_spec& spec) {
    this->cell.history.deadly.insert(job_name(number) + ".");
    this->cell.submit(this->cell.leader(), job_name(number), spec);
  }
  void submit(int number, const job_spec& spec) {
    this->cell.submit(this->cell.leader(), job_name(number), spec);
  }
  // Submits a small job every 200 ms for 4 s, as neighbours.
  void submit_neighbours(int first) {
    constexpr millis pause{200};
    constexpr int jobs = 20;
    for (int i = 0; i < jobs; ++i) {
      this->submit(first + i, fake_cell::simple_job(3));
      this->neighbours.push_back(job_name(first + i));
      this->cell.loop.run_for(pause);
    }
  }
  bool is_over(const std::string& job) {
    const auto phase = this->cell.phase(job);
    return phase && is_final(*phase);
  }
  void run_until_over(const std::vector<std::string>& jobs) {
    constexpr millis step{100};
    const instant until = this->cell.loop.now() + longest_play;
    const auto over = [this](const std::string& job) { return this->is_over(job); };
    while (this->cell.loop.now() < until && !std::all_of(jobs.begin(), jobs.end(), over)) {
      this->cell.loop.run_for(step);
    }
  }
  // The store removes the entry of a runner that it has not heard of for so long.
  void unlist_runners_that_are_down() {
    constexpr millis unlisted_after{4'500};
    constexpr millis step{100};
    for (auto& runner : this->cell.runners) {
      millis& down = this->down_for[runner->entry.id];
      down = runner->up ? millis{0} : down + step;
      if (down == unlisted_after) {
        this->cell.store.put("runners", runner->entry.id, "");
      }
    }
    this->cell.loop.after(step, [this] { this->unlist_runners_that_are_down(); });
  }
  void check_given_up(int number) {
    INFO(job_name(number));
    CHECK(this->cell.phase(job_name(number)) == job_phase::failed);
  }
  void check_neighbours() {
    this->run_until_over(this->neighbours);
    for (const std::string& job : this->neighbours) {
      INFO(job);
      CHECK(this->cell.phase(job) == job_phase::completed);
    }
  }

  fake_cell cell;
  std::vector<std::string> neighbours;
  std::map<std::string, millis> down_for;
};

void for_all_seeds(const std::function<void(deadly_fixture&)>& play) {
  for (const bool agents : {false, true}) {
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
      INFO("seed " << seed << ", agents " << agents);
      deadly_fixture f(seed, agents ? through_agents() : fake_cell::short_leases());
      play(f);
      check_history(f.cell);
      check_crash_counts(f.cell);
    }
  }
}

TEST_CASE("A task that crashes its runners is given up and its neighbours are not") {
  for_all_seeds([](deadly_fixture& f) {
    f.submit_deadly(0, fake_cell::simple_job(1));
    f.submit_neighbours(100);
    f.run_until_over({job_name(0)});
    f.check_given_up(0);
    f.check_neighbours();
  });
}

TEST_CASE("A task that crashes its runners before the start is answered is given up") {
  for_all_seeds([](deadly_fixture& f) {
    for (auto& runner : f.cell.runners) {
      runner->crash_delay = millis{0};
    }
    f.submit_deadly(0, fake_cell::simple_job(1));
    f.submit_neighbours(100);
    f.run_until_over({job_name(0)});
    f.check_given_up(0);
    f.check_neighbours();
  });
}

TEST_CASE("A task whose runners are back only after their leases is given up") {
  for_all_seeds([](deadly_fixture& f) {
    for (auto& runner : f.cell.runners) {
      runner->crash_time = millis{9'000};
    }
    f.submit_deadly(0, fake_cell::simple_job(1));
    f.submit_neighbours(100);
    f.run_until_over({job_name(0)});
    f.check_given_up(0);
    f.check_neighbours();
  });
}

TEST_CASE("A task whose runners never come back under their ids is given up") {
  for_all_seeds([](deadly_fixture& f) {
    for (auto& runner : f.cell.runners) {
      runner->crash_time = longest_play * 2;
    }
    f.submit_deadly(0, fake_cell::simple_job(1));
    f.unlist_runners_that_are_down();
    f.submit_neighbours(100);
    f.run_until_over({job_name(0)});
    f.check_given_up(0);
    f.check_neighbours();
  });
}

TEST_CASE("Several jobs of tasks that crash their runners are given up") {
  for_all_seeds([](deadly_fixture& f) {
    constexpr int jobs = 4;
    std::vector<std::string> names;
    for (int i = 0; i < jobs; ++i) {
      f.submit_deadly(i, fake_cell::simple_job(3));
      names.push_back(job_name(i));
    }
    f.submit_neighbours(100);
    f.run_until_over(names);
    for (int i = 0; i < jobs; ++i) {
      f.check_given_up(i);
    }
    f.check_neighbours();
  });
}

TEST_CASE("Two tasks that crash their runners are given up although they share the only one") {
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    INFO("seed " << seed);
    deadly_fixture f(seed, fake_cell::short_leases(), 1);
    f.submit_deadly(0, fake_cell::simple_job(1));
    f.submit_deadly(1, fake_cell::simple_job(1));
    f.submit(2, fake_cell::simple_job(2));
    f.run_until_over({job_name(0), job_name(1), job_name(2)});
    f.check_given_up(0);
    f.check_given_up(1);
    CHECK(f.cell.phase(job_name(2)) == job_phase::completed);
    check_history(f.cell);
    check_crash_counts(f.cell);
  }
}

TEST_CASE("A gang that crashes its runners is given up") {
  for_all_seeds([](deadly_fixture& f) {
    job_spec spec = fake_cell::simple_job(3);
    spec.steps[0].gang = true;
    spec.steps[0].anti_affinity = 1;
    f.cell.history.gangs[job_name(0)] = 3;
    f.submit_deadly(0, spec);
    f.submit_neighbours(100);
    f.run_until_over({job_name(0)});
    f.check_given_up(0);
    f.check_neighbours();
  });
}

TEST_CASE("A lasting task that crashes its runners is given up and another one lasts") {
  for_all_seeds([](deadly_fixture& f) {
    job_spec lasting = fake_cell::simple_job(1);
    lasting.steps[0].long_running = true;
    f.submit(1, lasting);
    f.submit_deadly(0, lasting);
    f.submit_neighbours(100);
    f.run_until_over({job_name(0)});
    f.check_given_up(0);
    f.check_neighbours();
    CHECK(f.cell.phase(job_name(1)) == job_phase::running);
  });
}

TEST_CASE("A successor goes on counting the runners that crash under a task") {
  for_all_seeds([](deadly_fixture& f) {
    f.submit_deadly(0, fake_cell::simple_job(1));
    f.submit_neighbours(100);
    constexpr millis step{5};
    constexpr millis down{1'500};
    std::int64_t killed_at = 0;
    const instant until = f.cell.loop.now() + longest_play;
    while (!f.is_over(job_name(0)) && f.cell.loop.now() < until) {
      f.cell.loop.run_for(step);
      const int crashes = f.cell.history.crashes[job_name(0) + ".0.0.0"];
      if (crashes > killed_at && f.cell.leader() >= 0) {
        killed_at = crashes;
        fake_cell::node& giver = *f.cell.nodes[static_cast<std::size_t>(f.cell.leader())];
        giver.kill();
        f.cell.loop.after(down, [&giver, &f] { giver.boot(f.cell); });
      }
    }
    f.check_given_up(0);
    f.check_neighbours();
  });
}

// Guards against review/4: nothing lowered the count of crashes, so a lasting task whose runner
// had crashed three times kept that runner from all other work for as long as it lasted.
TEST_CASE("A lasting task that runs on after its crashes shares its runner again") {
  for_all_seeds([](deadly_fixture& f) {
    const std::string kind = "kind-b";
    fake_runner& runner = *f.cell.runners.back();
    runner.entry.labels = {kind};
    f.cell.store.put("runners", runner.entry.id, "2");
    f.cell.loop.run_for(millis{500});
    job_spec lasting = fake_cell::simple_job(1);
    lasting.steps[0].long_running = true;
    lasting.steps[0].required_label = kind;
    f.submit(0, lasting);
    constexpr millis until_crash{3'000};
    constexpr millis back_and_found{10'000};
    for (int i = 0; i < 3; ++i) {
      f.cell.loop.run_for(until_crash);
      runner.crash_for_a_while();
      f.cell.loop.run_for(back_and_found);
    }
    job_spec other = fake_cell::simple_job(1);
    other.steps[0].required_label = kind;
    f.submit(1, other);
    // By then the lasting task has run for longer than its crashes took to come, and the users' 3 s
    // for a task that could run are over.
    constexpr millis bound{10'000};
    f.cell.loop.run_for(bound);
    CHECK(f.cell.phase(job_name(1)) == job_phase::completed);
    CHECK(f.cell.phase(job_name(0)) == job_phase::running);
  });
}

TEST_CASE("Nobody is given up because a third of the runners crash three times in a row") {
  for_all_seeds([](deadly_fixture& f) {
    constexpr int jobs = 6;
    constexpr millis pause{4'500};
    std::vector<std::string> names;
    job_spec lasting = fake_cell::simple_job(6);
    lasting.steps[0].long_running = true;
    f.submit(50, lasting);
    for (int i = 0; i < jobs; ++i) {
      f.submit(i, fake_cell::simple_job(4));
      names.push_back(job_name(i));
    }
    for (int round = 0; round < 3; ++round) {
      f.cell.loop.run_for(millis{300});
      for (int i = 0; i < runner_count / 3; ++i) {
        f.cell.runners[static_cast<std::size_t>(i)]->crash_for_a_while();
      }
      f.cell.loop.run_for(pause);
    }
    f.run_until_over(names);
    for (const std::string& job : names) {
      INFO(job);
      CHECK(f.cell.phase(job) == job_phase::completed);
    }
    CHECK(f.cell.phase(job_name(50)) == job_phase::running);
  });
}

}  // namespace
}  // namespace monsoonmux::cell
