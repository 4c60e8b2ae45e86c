#include "decide/runner_table.h"

#include <catch2/catch.hpp>

#include "decide/run_time_estimator.h"
#include "decide/testing/cell_builder.h"

namespace monsoonmux::cell {
namespace {

constexpr instant now{1'000'000};

runner_state& add_runner(runner_table& table, const std::string& id) {
  runner_entry entry;
  entry.id = id;
  entry.capacity = {millicores{8'000}, mebibytes{8'000}, devices{0}};
  runner_state& runner = table.update(entry);
  runner.admitted = true;
  return runner;
}

allocation run(std::int32_t index, instant since, millis expected) {
  allocation out;
  out.task = {{job_id("j"), 0, 0}, index};
  out.run = 1;
  out.since = since;
  out.expected = expected;
  out.expected_is_learned = true;
  return out;
}

TEST_CASE("A runner on which every run fails is quarantined for a while") {
  runner_table table;
  runner_state& runner = add_runner(table, "a");
  table.record_run_outcome("a", true, now);
  table.record_run_outcome("a", true, now);
  table.record_run_outcome("a", false, now);
  table.record_run_outcome("a", true, now);
  table.record_run_outcome("a", true, now);
  CHECK(runner.takes_work(now));
  table.record_run_outcome("a", true, now);
  CHECK_FALSE(runner.takes_work(now));
  CHECK(runner.takes_work(now + runner_table_options{}.quarantine_time));
}

TEST_CASE("A runner whose runs have stalled gets no new work") {
  runner_table table;
  runner_state& still = add_runner(table, "still");
  runner_state& mixed = add_runner(table, "mixed");
  runner_state& lasting = add_runner(table, "lasting");
  const instant long_ago = now - millis{10'000};
  for (std::int32_t i = 0; i < 2; ++i) {
    table.add("still", run(i, long_ago, millis{1'000}));
    table.add("mixed", run(i, long_ago, millis{1'000}));
    table.add("lasting", run(i, long_ago, millis{0}));
  }
  for (std::int32_t i = 2; i < 5; ++i) {
    table.add("mixed", run(i, now, millis{1'000}));
  }
  table.quarantine_stalled(now);
  CHECK_FALSE(still.takes_work(now));
  CHECK(mixed.takes_work(now));
  CHECK(lasting.takes_work(now));
}

TEST_CASE("The begin and the end of a quarantine are told once, with its reason") {
  runner_table table;
  add_runner(table, "still");
  add_runner(table, "fails");
  for (std::int32_t i = 0; i < 2; ++i) {
    table.add("still", run(i, now - millis{10'000}, millis{1'000}));
  }
  for (std::int32_t i = 0; i < runner_table_options{}.failures_to_quarantine; ++i) {
    table.record_run_outcome("fails", true, now);
  }
  table.quarantine_stalled(now);
  table.quarantine_stalled(now + millis{500});
  const std::vector<quarantine_change> begun = table.take_quarantine_changes();
  REQUIRE(begun.size() == 2);
  CHECK(begun[0].why == work_refusal::failing);
  CHECK(begun[1].why == work_refusal::stalled);
  CHECK(begun[1].overdue == 2);
  for (std::int32_t i = 0; i < 2; ++i) {
    table.remove("still", {run(i, now, millis{0}).task, 1});
  }
  table.quarantine_stalled(now + millis{20'000});
  const std::vector<quarantine_change> ended = table.take_quarantine_changes();
  REQUIRE(ended.size() == 2);
  CHECK_FALSE(ended[0].begins);
  CHECK(ended[0].lasted == millis{20'000});
  CHECK(table.take_quarantine_changes().empty());
}

constexpr millis tick{50};  // Of a leader.

TEST_CASE("Looking for stalled runners does not walk all runs at each tick") {
  runner_table table;
  add_runner(table, "a");
  constexpr std::int32_t runs = 4;
  for (std::int32_t i = 0; i < runs; ++i) {
    table.add("a", run(i, now, millis{1'000}));
  }
  std::int64_t looked_at = 0;
  const millis quarantine = runner_table_options{}.stalled_quarantine_time;
  for (millis passed{0}; passed < quarantine; passed += tick) {
    looked_at += table.check_stalled(now + passed);
  }
  constexpr std::int64_t most_looks = 5;  // Within the time that a quarantine lasts.
  CHECK(looked_at >= runs);
  CHECK(looked_at <= most_looks * runs);
}

TEST_CASE("The quarantine of a runner that remains stalled does not lapse between two looks") {
  runner_table table;
  runner_state& still = add_runner(table, "still");
  for (std::int32_t i = 0; i < 2; ++i) {
    table.add("still", run(i, now - millis{10'000}, millis{1'000}));
  }
  table.check_stalled(now);
  constexpr millis duration{5'000};
  for (millis passed{0}; passed < duration; passed += millis{1}) {
    CHECK_FALSE(still.takes_work(now + passed));
    if (passed.value % tick.value == 0) {
      table.check_stalled(now + passed);
    }
  }
}

// Submitters sometimes declare a tenth of the actual run time. A new leader that took the
// declared for the expected time would quarantine most of its runners until it has learned
// the actual times.
TEST_CASE("A runner does not count as stalled by declared run times alone") {
  cell_builder cell;
  runner_state& runner = cell.add_runner("a", {millicores{8'000}, mebibytes{8'000}, devices{0}});
  live_job& job =
      cell.add_job("j", cell_builder::step(3, {millicores{1'000}, mebibytes{100}, devices{0}}));
  const step_ref step{job_id("j"), 0, 0};
  for (std::int32_t i = 0; i < 3; ++i) {
    cell.state.runners.add("a", make_allocation(cell.state, job, {step, i}, 1, cell.now));
  }
  const instant later = cell.now + millis{10'000};
  cell.state.runners.quarantine_stalled(later);
  CHECK(runner.takes_work(later));

  // The same runs count as stalled once the run time has been learned.
  for (int i = 0; i < 20; ++i) {
    cell.state.run_times.add_sample(queue_id("q"), "other", millis{1'000}, millis{1'000});
  }
  for (std::int32_t i = 0; i < 3; ++i) {
    cell.state.runners.remove("a", {{step, i}, 1});
    cell.state.runners.add("a", make_allocation(cell.state, job, {step, i}, 1, cell.now));
  }
  cell.state.runners.quarantine_stalled(later);
  CHECK_FALSE(runner.takes_work(later));
}

TEST_CASE("Slow runners are distinguished from slow work") {
  run_time_estimator times;
  const queue_id quick("quick");
  const queue_id slow("slow");
  for (int i = 0; i < 60; ++i) {
    times.add_sample(quick, i % 3 == 0 ? "lame" : "sound", millis{1},
                     millis{i % 3 == 0 ? 200 : 100});
    times.add_sample(slow, "sound", millis{1}, millis{5'000});
  }
  CHECK(times.slowdown("lame") > 1.3);
  CHECK(times.slowdown("sound") < 1.1);
  CHECK(times.slowdown("unknown") == 1.0);
  CHECK(times.expected(slow, millis{1}) == millis{5'000});
  CHECK(times.expected(queue_id("new"), millis{7}) == millis{7});
}

TEST_CASE("The declared time is used where it predicts better than the mean") {
  run_time_estimator times;
  const queue_id honest("honest");
  const queue_id careless("careless");
  for (int i = 1; i <= 40; ++i) {
    // Always half of the actual time.
    const millis declared{500 + 100 * (i % 10)};
    times.add_sample(honest, "a", declared, declared * 2);
    // Between a tenth of the actual time and ten times that.
    times.add_sample(careless, "a", millis{i % 2 == 0 ? 100 : 10'000}, millis{900 + 10 * (i % 10)});
  }
  CHECK(times.expected(honest, millis{3'000}) == millis{6'000});
  CHECK(times.expected(careless, millis{10'000}).value < 1'100);
  CHECK(times.expected(careless, millis{100}).value > 800);
}

}  // namespace
}  // namespace monsoonmux::cell
