// Tests the placers of a small cell under seeded random failures. The checker
// verifies each run from the workers' history and the final state of the log.

#include <catch2/catch.hpp>

#include "control/testing/fake_cell.h"
#include "history/checker.h"

namespace monsoonmux {
namespace {

constexpr unsigned random_seeds = 1'000;

job_spec batch(const std::string& name, int tasks, std::int64_t ms, int team = 0) {
  job_spec spec;
  spec.id = job_id(name);
  spec.team = team_id("t" + std::to_string(team));
  spec.pool = pool_id("p");
  spec.tasks = tasks;
  spec.per_task = {{1'000}, {512}, {0}};
  spec.command = "run:" + std::to_string(ms);
  spec.declared_runtime = {ms};
  return spec;
}

std::vector<job_part> all_in(const domain_id& d, int tasks) {
  return {{d, 0, tasks}};
}

std::string describe(const std::vector<violation>& found) {
  std::string out;
  for (const violation& v : found) {
    out += std::string(to_string(v.violated)) + " at " + std::to_string(v.at_ms) + ": " + v.detail +
           "\n";
  }
  return out;
}

std::string violations_in(fake_cell& cell) {
  cell.record_ends();
  const std::string found = describe(check_history(cell.recorded, {}));
  if (!found.empty()) {
    for (const std::string& line : cell.time_line) {
      UNSCOPED_INFO(line);
    }
  }
  return found;
}

void submit_mix(fake_cell& cell, int round) {
  for (int n = 0; n < 3; ++n) {
    const int d = cell.world.pick(2);
    const int tasks = 1 + cell.world.pick(4);
    const std::string name = "j" + std::to_string(round) + "-" + std::to_string(n);
    const int run_ms = 500 + cell.world.pick(8'000);
    const int team = cell.world.pick(2);
    job_spec spec = batch(name, tasks, run_ms, team);
    spec.kind = cell.world.chance(30) ? work_kind::gang : work_kind::batch;
    spec.priority = cell.world.chance(20) ? urgency::urgent : urgency::normal;
    cell.submit(spec, all_in(cell.domain(d), tasks));
  }
}

void inject_fault(fake_cell& cell) {
  const auto any_daemon = [&] {
    return static_cast<std::size_t>(cell.world.pick(static_cast<int>(cell.daemon_count())));
  };
  const auto any_worker = [&] {
    return static_cast<std::size_t>(cell.world.pick(static_cast<int>(cell.worker_count())));
  };
  switch (cell.world.pick(8)) {
    case 0:
      cell.replace_daemon(any_daemon(), millis{cell.world.pick(5'000)});
      break;
    case 1:
      cell.daemon(any_daemon()).pause(millis{cell.world.pick(20'000)});
      break;
    case 2:
      cell.log.down = !cell.log.down;
      break;
    case 3:
      cell.log.lose_answers_percent = cell.world.pick(60);
      break;
    case 4:
      cell.worker(any_worker()).restart();
      break;
    case 5:
      cell.cut_domain(cell.world.pick(2));
      break;
    case 6:
      cell.heal();
      break;
    default:
      cell.world.loss_percent = cell.world.pick(20);
      break;
  }
}

}  // namespace

TEST_CASE("each domain gets one placer, and tasks run once") {
  fake_cell cell(1, {});
  cell.run({8'000});
  CHECK(cell.placers_of(cell.domain(0)) == 1);
  CHECK(cell.placers_of(cell.domain(1)) == 1);
  for (int i = 0; i < 6; ++i) {
    cell.submit(batch("j" + std::to_string(i), 3, 2'000), all_in(cell.domain(i % 2), 3));
  }
  cell.run({20'000});
  CHECK(violations_in(cell) == "");
}

TEST_CASE("another daemon takes over a dead placer's domain, even while the log is down") {
  for (const bool log_down : {false, true}) {
    fake_cell cell(2, {});
    cell.run({8'000});
    cell.submit(batch("j", 4, 30'000), all_in(cell.domain(0), 4));
    cell.run({3'000});
    cell.log.down = log_down;
    for (std::size_t i = 0; i < 2; ++i) {
      if (cell.daemon(i).placers.at(cell.domain(0))->status().phase == placer_phase::placing) {
        cell.daemon(i).alive = false;
        break;
      }
    }
    cell.run({20'000});
    CHECK(cell.placers_of(cell.domain(0)) == 1);
    cell.log.down = false;
    cell.run({40'000});
    CHECK(violations_in(cell) == "");
    int starts = 0;
    for (const history_event& e : cell.recorded) {
      starts += e.kind == history_kind::task_started ? 1 : 0;
    }
    CHECK(starts == 4);
  }
}

TEST_CASE("a placer that resumes after its lease expired violates no guarantee") {
  for (unsigned seed = 0; seed < 20; ++seed) {
    INFO("seed " << seed);
    fake_cell cell(seed, {});
    cell.run({8'000});
    for (int i = 0; i < 8; ++i) {
      cell.submit(batch("j" + std::to_string(i), 4, 4'000), all_in(cell.domain(0), 4));
    }
    cell.run({500 + cell.world.pick(3'000)});
    for (std::size_t i = 0; i < 2; ++i) {
      if (cell.daemon(i).placers.at(cell.domain(0))->status().phase == placer_phase::placing) {
        cell.daemon(i).pause(millis{4'000 + cell.world.pick(12'000)});
      }
    }
    cell.run({90'000});
    REQUIRE(violations_in(cell) == "");
  }
}

TEST_CASE("a partitioned domain continues to place tasks") {
  fake_cell cell(4, {});
  cell.run({8'000});
  cell.submit(batch("j", 24, 5'000), all_in(cell.domain(0), 24));
  cell.run({2'000});
  cell.cut_domain(0);
  const auto before = cell.recorded.size();
  cell.run({30'000});
  int started = 0;
  for (std::size_t i = before; i < cell.recorded.size(); ++i) {
    started += cell.recorded[i].kind == history_kind::task_started ? 1 : 0;
  }
  CHECK(started >= 12);
  cell.heal();
  cell.run({20'000});
  CHECK(violations_in(cell) == "");
}

// The worker and time of each start, in order.
std::vector<history_event> starts_in(const fake_cell& cell) {
  std::vector<history_event> out;
  std::copy_if(cell.recorded.begin(), cell.recorded.end(), std::back_inserter(out),
               [](const history_event& e) { return e.kind == history_kind::task_started; });
  return out;
}

void await_starts(fake_cell& cell, std::size_t count) {
  const instant latest = cell.world.time.now() + millis{30'000};
  while (starts_in(cell).size() < count && cell.world.time.now() < latest) {
    cell.run({100});
  }
  REQUIRE(starts_in(cell).size() == count);
}

TEST_CASE("a repeated run keeps its capacity until it has ended, though an earlier one succeeded") {
  fake_cell::layout one_task_each;
  one_task_each.domains = 1;
  one_task_each.daemons_per_domain = 1;
  one_task_each.worker_size = {{1'000}, {512}, {0}};
  fake_cell cell(1, one_task_each);
  cell.run({8'000});
  cell.submit(batch("other", 1, 100'000), all_in(cell.domain(0), 1));
  await_starts(cell, 1);
  cell.submit(batch("j0", 1, 6'000), all_in(cell.domain(0), 1));
  await_starts(cell, 2);
  cell.world.disconnect("m0", starts_in(cell)[1].subject);
  await_starts(cell, 3);
  cell.workers.at(worker_id(starts_in(cell)[2].subject))->loses_stops = true;
  cell.submit(batch("j1", 1, 20'000), all_in(cell.domain(0), 1));
  cell.submit(batch("j2", 1, 20'000), all_in(cell.domain(0), 1));
  cell.heal();
  cell.run({120'000});
  CHECK(starts_in(cell).size() == 5);
  CHECK(violations_in(cell) == "");
}

TEST_CASE("the cell violates no guarantee under random failures") {
  for (unsigned seed = 0; seed < random_seeds; ++seed) {
    INFO("seed " << seed);
    fake_cell cell(seed, {});
    cell.run({8'000});
    for (int round = 0; round < 12; ++round) {
      submit_mix(cell, round);
      inject_fault(cell);
      cell.run({cell.world.pick(6'000)});
    }
    cell.log.down = false;
    cell.log.lose_answers_percent = 0;
    cell.world.loss_percent = 0;
    cell.heal();
    cell.run({180'000});
    REQUIRE(violations_in(cell) == "");
  }
}

}  // namespace monsoonmux
