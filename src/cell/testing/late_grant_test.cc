// Leases whose calls are on their way for seconds and whose time counts from their arrival, on
// runners that are then cut off: does a run outlast the time after which its task starts elsewhere?

#include <catch2/catch.hpp>

#include "cell/testing/cell_checks.h"
#include "cell/testing/seeded_plays.h"

namespace monsoonmux::cell {
namespace {

constexpr millis long_time{60'000};

void cut_off_from_all(fake_cell& cell, fake_runner& runner) {
  for (const auto& n : cell.nodes) {
    runner.partitioned.insert(n->name);
  }
}

void drain(fake_cell& cell, fake_runner& runner, bool draining) {
  runner.entry.draining = draining;
  cell.store.put("runners", runner.entry.id, "1");
}

enum class leader_fate { kept, lost };

// One task, whose runner gets no poll in time for a while and is then cut off from all daemons.
void play_late_polls(bool with_agents, millis delay, leader_fate fate) {
  constexpr millis start_time{3'000};
  constexpr millis late_time{2'600};
  constexpr millis cut_time{25'000};
  fake_cell cell(3, 2, 1, with_agents ? through_agents() : daemon_options{});
  for (auto& runner : cell.runners) {
    runner->task_time = long_time;
  }
  fake_runner& late = *cell.runners[0];
  fake_runner& other = *cell.runners[1];
  drain(cell, other, true);
  cell.loop.run_for(boot_time);
  cell.submit(0, job_name(0), fake_cell::simple_job(1));
  cell.loop.run_for(start_time);
  REQUIRE(cell.history.starts == 1);
  drain(cell, other, false);
  late.late_polls = 1;
  late.shortest_delay = delay;
  late.delay_span = millis{1};
  cell.loop.run_for(late_time);
  cut_off_from_all(cell, late);
  const int leader = cell.leader();
  if (fate == leader_fate::lost && leader >= 0) {
    cell.nodes[static_cast<std::size_t>(leader)]->kill();
  }
  cell.loop.run_for(cut_time);
  CHECK(cell.history.starts == 2);
  check_history(cell);
}

TEST_CASE("A lease whose poll arrives late behind a cut does not outlast what the leader counts") {
  constexpr std::int64_t delays_ms[] = {2'000, 3'000, 4'000, 5'000, 6'000, 9'000, 12'000};
  for (const bool with_agents : {false, true}) {
    for (const leader_fate fate : {leader_fate::kept, leader_fate::lost}) {
      for (const std::int64_t delay : delays_ms) {
        INFO("delay " << delay << (with_agents ? ", through agents" : "")
                      << (fate == leader_fate::lost ? ", leader lost" : ""));
        play_late_polls(with_agents, millis{delay}, fate);
      }
    }
  }
}

enum class late_calls { polls, all_commands, all_beside_lost_leaders };

// Changes one thing at a time: calls to a runner become late, and it is cut off for longer than a
// lease.
class late_lease_trouble {
 public:
  late_lease_trouble(fake_cell& cell, late_calls kind) : cell(cell), kind(kind) {}

  void change() {
    fake_runner& runner = *this->cell.runners[this->cell.random() % this->cell.runners.size()];
    switch (this->cell.random() % 4) {
      case 0:
      case 1:
        this->delay_calls(runner);
        break;
      case 2:
        this->cut_off(runner);
        break;
      default:
        this->delay_calls(runner);
        this->cell.loop.after(this->between(100, 3'000),
                              [this, &runner] { this->cut_off(runner); });
    }
    if (this->kind == late_calls::all_beside_lost_leaders && this->cell.random() % 4 == 0) {
      this->lose_leader();
    }
  }
  void end() {
    this->ended = true;
    for (auto& runner : this->cell.runners) {
      runner->partitioned.clear();
      this->set_late(*runner, 0);
    }
  }

 private:
  millis between(int shortest_ms, int longest_ms) {
    return millis{shortest_ms +
                  static_cast<std::int64_t>(this->cell.random() %
                                            static_cast<std::uint32_t>(longest_ms - shortest_ms))};
  }
  void set_late(fake_runner& runner, double rate) const {
    (this->kind == late_calls::polls ? runner.late_polls : runner.late_commands) = rate;
  }
  void delay_calls(fake_runner& runner) {
    constexpr double rates[] = {0.2, 0.5, 1};
    this->set_late(runner, rates[this->cell.random() % std::size(rates)]);
    this->cell.loop.after(this->between(300, 4'000),
                          [this, &runner] { this->set_late(runner, 0); });
  }
  void cut_off(fake_runner& runner) {
    if (this->ended) {
      return;
    }
    cut_off_from_all(this->cell, runner);
    this->cell.loop.after(this->between(3'000, 20'000), [&runner] { runner.partitioned.clear(); });
  }

  void lose_leader() {
    const int leader = this->cell.leader();
    if (leader < 0) {
      return;
    }
    fake_cell::node& lost = *this->cell.nodes[static_cast<std::size_t>(leader)];
    lost.kill();
    this->cell.loop.after(this->between(500, 3'000), [this, &lost] {
      if (!lost.daemon) {
        lost.boot(this->cell);
      }
    });
  }

  fake_cell& cell;
  const late_calls kind;
  bool ended = false;
};

// Long tasks on runners whose calls are late and which are cut off, again and again.
void play_long_tasks(std::uint32_t seed, bool with_agents, late_calls kind) {
  constexpr int daemons = 3;
  constexpr int runners = 4;
  constexpr int rounds = 40;
  constexpr millis settle_time{30'000};
  constexpr double slowest_clock = 0.98;
  INFO("seed " << seed << (with_agents ? ", through agents" : ""));
  fake_cell cell(daemons, runners, seed, with_agents ? through_agents() : daemon_options{});
  for (auto& runner : cell.runners) {
    runner->task_time = long_time;
    runner->clock_rate = cell.random() % 2 == 0 ? slowest_clock : 1.0;
  }
  cell.loop.run_for(boot_time);
  late_lease_trouble trouble(cell, kind);
  for (int i = 0; i < rounds; ++i) {
    if (i % 4 == 0) {
      cell.submit(static_cast<int>(cell.random() % daemons), job_name(i), fake_cell::simple_job(2));
    }
    trouble.change();
    cell.loop.run_for(millis{300 + static_cast<std::int64_t>(cell.random() % 1'500)});
  }
  trouble.end();
  cell.loop.run_for(settle_time);
  REQUIRE(cell.history.starts > 0);
  check_history(cell);
}

TEST_CASE("Leases that are extended by late polls do not outlast what the leader counts") {
  play_seeds(40, [](std::uint32_t seed, bool with_agents) {
    play_long_tasks(seed, with_agents, late_calls::polls);
  });
}

TEST_CASE("Leases that are extended by late commands do not outlast what the leader counts") {
  play_seeds(40, [](std::uint32_t seed, bool with_agents) {
    play_long_tasks(seed, with_agents, late_calls::all_commands);
  });
}

void play_beside_lost_leaders(std::uint32_t seed, bool with_agents) {
  play_long_tasks(seed, with_agents, late_calls::all_beside_lost_leaders);
}

TEST_CASE("Leases that are extended by late commands do not outlast what successors count") {
  play_seeds(40, play_beside_lost_leaders);
}

// Guards against a leader that is lost before it notes, in a renewal, that a lease without an
// answer may come late.
TEST_CASE("A late lease does not outlast what the successor of a lost leader counts") {
  for (const std::uint32_t seed : {4U, 137U}) {
    play_beside_lost_leaders(seed, false);
  }
}

// A leader that does not reach the store reaches a runner alone, whose polls come late before it is
// cut off from all.
void play_cut_off_leader(std::uint32_t seed, bool with_agents, const job_spec& job) {
  INFO("seed " << seed << (with_agents ? ", through agents" : ""));
  fake_cell cell(3, 2, seed, with_agents ? through_agents() : daemon_options{});
  for (auto& runner : cell.runners) {
    runner->task_time = long_time;
  }
  fake_runner& late = *cell.runners[0];
  fake_runner& other = *cell.runners[1];
  drain(cell, other, true);
  cell.loop.run_for(boot_time);
  cell.submit(0, job_name(0), job);
  const auto between = [&cell](int shortest_ms, int longest_ms) {
    return millis{shortest_ms + static_cast<int>(cell.random() % static_cast<std::uint32_t>(
                                                                     longest_ms - shortest_ms))};
  };
  cell.loop.run_for(between(2'000, 4'000));
  REQUIRE(cell.history.starts == 1);
  drain(cell, other, false);
  cell.loop.run_for(between(300, 900));
  const int leader = cell.leader();
  REQUIRE(leader >= 0);
  const std::string& cut_off = cell.nodes[static_cast<std::size_t>(leader)]->name;
  cell.store.partitioned.insert(cut_off);
  cell.isolated.insert(cut_off);
  for (const auto& n : cell.nodes) {
    if (n->name != cut_off) {
      late.partitioned.insert(n->name);
    }
  }
  cell.loop.run_for(between(1, 2'500));
  late.late_polls = 1;
  late.shortest_delay = between(2'000, 12'000);
  late.delay_span = millis{1};
  cell.loop.run_for(between(1, 1'500));
  cut_off_from_all(cell, late);
  constexpr millis cut_time{40'000};
  cell.loop.run_for(cut_time);
  CHECK(cell.history.starts == 2);
  check_history(cell);
}

TEST_CASE("A late lease of a leader that reaches a runner alone does not outlast its successor's") {
  play_seeds(32, [](std::uint32_t seed, bool with_agents) {
    play_cut_off_leader(seed, with_agents, fake_cell::simple_job(1));
  });
}

// The successor counts a run that lasts as if no command of the former leader came late.
TEST_CASE(
    "A late lease of a task that lasts does not outlast its successor's where one leads alone",
    "[.][known-red]") {
  play_seeds(32, [](std::uint32_t seed, bool with_agents) {
    job_spec lasting = fake_cell::simple_job(1);
    lasting.steps[0].long_running = true;
    play_cut_off_leader(seed, with_agents, lasting);
  });
}

// A batch run beside one that lasts, on a runner whose polls come late before it is cut off, with a
// leader that is lost a while later.
void play_batch_beside_lasting(std::uint32_t seed, bool with_agents) {
  INFO("seed " << seed << (with_agents ? ", through agents" : ""));
  fake_cell cell(3, 2, seed, with_agents ? through_agents() : daemon_options{});
  for (auto& runner : cell.runners) {
    runner->task_time = long_time;
  }
  fake_runner& late = *cell.runners[0];
  drain(cell, *cell.runners[1], true);
  cell.loop.run_for(boot_time);
  job_spec lasting = fake_cell::simple_job(1);
  lasting.steps[0].long_running = true;
  cell.submit(0, "lasting", lasting);
  cell.submit(0, job_name(0), fake_cell::simple_job(1));
  const auto between = [&cell](int shortest_ms, int longest_ms) {
    return millis{shortest_ms + static_cast<int>(cell.random() % static_cast<std::uint32_t>(
                                                                     longest_ms - shortest_ms))};
  };
  cell.loop.run_for(between(2'000, 4'000));
  REQUIRE(cell.history.starts == 2);
  drain(cell, *cell.runners[1], false);
  late.late_polls = 1;
  late.shortest_delay = between(2'000, 6'000);
  late.delay_span = millis{1};
  cell.loop.run_for(between(300, 2'600));
  cut_off_from_all(cell, late);
  cell.loop.run_for(between(1, 3'000));
  const int leader = cell.leader();
  if (leader >= 0) {
    cell.nodes[static_cast<std::size_t>(leader)]->kill();
  }
  constexpr millis cut_time{40'000};
  cell.loop.run_for(cut_time);
  const std::string batch_task = job_name(0) + ".0.0.0";
  for (const std::string& broken : cell.history.broken) {
    // The lasting task has to run again sooner than its late lease ends.
    if (broken.find(batch_task) != std::string::npos) {
      FAIL_CHECK(broken);
    }
  }
  CHECK(cell.history.starts_of[batch_task] == 2);
}

TEST_CASE("A batch run beside a lasting one counts by its own lease after its leader is lost") {
  play_seeds(16, play_batch_beside_lasting);
}

}  // namespace
}  // namespace monsoonmux::cell
