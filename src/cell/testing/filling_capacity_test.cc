// What steps with Fills take of a runner: no processor time, but their memory and accelerators.

#include <catch2/catch.hpp>

#include "cell/testing/full_cell.h"
#include "cell/testing/seeded_plays.h"

namespace monsoonmux::cell {
namespace {

constexpr resources mixed_size{millicores{2'000}, mebibytes{1'000}, devices{2}};

// A job of ordinary or filling tasks, some bound by memory and some by accelerators.
job_spec draw_mixed(fake_cell& cell) {
  const auto pick = [&cell](int least, int most) {
    const auto span = static_cast<std::uint32_t>(most - least + 1);
    return least + static_cast<std::int64_t>(cell.random() % span);
  };
  job_spec spec = fake_cell::simple_job(static_cast<int>(pick(1, 4)));
  step_spec& step = spec.steps[0];
  step.best_effort = pick(0, 1) == 1;
  switch (pick(0, 2)) {
    case 0:
      step.need = {millicores{pick(1, 10) * 200}, mebibytes{pick(1, 4) * 50}, devices{0}};
      break;
    case 1:
      step.need = {millicores{pick(1, 4) * 100}, mebibytes{pick(3, 10) * 100}, devices{0}};
      break;
    default:
      step.need = {millicores{pick(1, 4) * 100}, mebibytes{pick(1, 4) * 50}, devices{pick(1, 2)}};
      break;
  }
  return spec;
}

full_cell_options mixed_work() {
  full_cell_options options;
  options.draw = draw_mixed;
  options.runner_size = mixed_size;
  return options;
}

// The sum over the plays of a test.
full_cell_figures figures;

void play_mixed(std::uint32_t seed, bool with_agents) {
  figures += play_full_cell(seed, with_agents, mixed_work());
}

void play_mixed_with_tickets(std::uint32_t seed, bool with_agents) {
  full_cell_options options = mixed_work();
  options.with_tickets = true;
  figures += play_full_cell(seed, with_agents, options);
}

void play_all(void (*play)(std::uint32_t seed, bool with_agents)) {
  figures = {};
  play_seeds(6, play);
  check_figures(figures);
}

TEST_CASE("Beside filling tasks, memory and accelerators of a runner are not exceeded") {
  play_all(play_mixed);
}

TEST_CASE("Beside filling tasks and restarts, memory and accelerators are not exceeded") {
  play_all(play_mixed_with_tickets);
}

// The number of violations after two tasks of these needs, of which the first one fills, began on
// one runner.
std::size_t violations_of(const resources& filling, const resources& ordinary) {
  run_history history;
  runner_entry runner;
  runner.id = "i-0";
  runner.pool = pool_id("s");
  runner.capacity = mixed_size;
  job_spec first = fake_cell::simple_job(1);
  first.steps[0].need = filling;
  first.steps[0].best_effort = true;
  job_spec second = fake_cell::simple_job(1);
  second.steps[0].need = ordinary;
  history.jobs[job_name(0)] = {first, runner.pool};
  history.jobs[job_name(1)] = {second, runner.pool};
  history.begin(instant{0}, runner, job_name(0) + ".0.0.0", 1);
  history.begin(instant{0}, runner, job_name(1) + ".0.0.0", 1);
  return history.broken.size();
}

TEST_CASE("The check of histories counts each resource of ordinary and filling tasks") {
  const millicores all_cpu = mixed_size.cpu;
  const mebibytes all_memory = mixed_size.memory;
  const devices all_devices = mixed_size.accelerators;
  CHECK(violations_of({all_cpu, mebibytes{0}, devices{0}}, mixed_size) == 0);
  CHECK(violations_of({millicores{0}, mebibytes{1}, devices{0}}, mixed_size) == 1);
  CHECK(violations_of({millicores{0}, mebibytes{0}, devices{1}}, mixed_size) == 1);
  CHECK(violations_of({all_cpu, all_memory, all_devices}, {}) == 0);
  CHECK(violations_of({}, {all_cpu + millicores{1}, mebibytes{0}, devices{0}}) == 1);
}

// The only runner has a filling run that no daemon knows of, whose stop takes as long as the
// platform allows, when it is listed.
TEST_CASE("No task starts in the memory of a filling run that is being stopped") {
  fake_cell cell(1, 1, 7);
  fake_runner& runner = *cell.runners[0];
  runner.entry.capacity = mixed_size;
  cell.store.put("runners", runner.entry.id, "");
  cell.loop.run_for(boot_time);
  runner.stop_time = millis{900};
  runner.task_time = millis{60'000};
  job_spec filling = fake_cell::simple_job(1);
  filling.steps[0].best_effort = true;
  filling.steps[0].need = {millicores{500}, mebibytes{600}, devices{0}};
  cell.submit(0, job_name(1), filling);
  start_command command;
  command.task = job_name(1) + ".0.0.0";
  command.run = 1;
  command.lease_until_ms = runner.clock() + 6'000;
  REQUIRE(runner.start(command).status == command_status::done);
  job_spec ordinary = fake_cell::simple_job(4);
  ordinary.steps[0].need = {millicores{500}, mebibytes{200}, devices{0}};
  cell.submit(0, job_name(0), ordinary);
  cell.store.put("runners", runner.entry.id, "1");
  cell.loop.run_for(millis{600});
  CHECK(cell.history.starts == 3);
  cell.loop.run_for(millis{5'000});
  CHECK(cell.history.starts == 5);
  check_history(cell);
}

}  // namespace
}  // namespace monsoonmux::cell
