#include "decide/placer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

#include "decide/testing/cell_builder.h"

namespace monsoonmux::cell {
namespace {

constexpr resources small_task{millicores{1'000}, mebibytes{100}, devices{0}};
constexpr resources small_runner{millicores{4'000}, mebibytes{1'000}, devices{0}};
constexpr resources gpu_task{millicores{1'000}, mebibytes{100}, devices{4}};
constexpr resources gpu_runner{millicores{64'000}, mebibytes{10'000}, devices{8}};

plan decide(cell_builder& cell) {
  placer planner(cell.state);
  return planner.decide(cell.now, cell.now.value);
}

TEST_CASE("Tasks fill the runners up to their capacity and not beyond") {
  cell_builder cell;
  cell.add_runner("a", small_runner);
  cell.add_runner("b", small_runner);
  cell.add_job("j", cell_builder::step(20, small_task));
  const plan p = decide(cell);
  CHECK(p.placements.size() == 8);
  CHECK(cell.state.runners.find("a")->free_capacity().cpu == millicores{0});
}

TEST_CASE("A runner that is draining, not admitted or quarantined gets no tasks") {
  cell_builder cell;
  cell.add_runner("a", small_runner).entry.draining = true;
  cell.add_runner("b", small_runner).admitted = false;
  cell.add_runner("c", small_runner).quarantined_until = cell.now + millis{1};
  cell.add_job("j", cell_builder::step(1, small_task));
  CHECK(decide(cell).placements.empty());
}

TEST_CASE("A runner whose runs take long gets work only where no other has room") {
  cell_builder cell;
  cell.add_runner("a", small_runner).may_be_slow = true;
  cell.add_runner("b", small_runner);
  cell.add_job("j", cell_builder::step(5, small_task));
  const plan p = decide(cell);
  REQUIRE(p.placements.size() == 5);
  for (std::size_t i = 0; i < 4; ++i) {
    CHECK(p.placements[i].runner == "b");
  }
  CHECK(p.placements[4].runner == "a");
}

TEST_CASE("A team stays within its quota") {
  cell_builder cell;
  cell.state.config.teams[0].limit = {millicores{3'000}, mebibytes{0}, devices{0}};
  cell.add_runner("a", small_runner);
  cell.add_job("j", cell_builder::step(4, small_task));
  CHECK(decide(cell).placements.size() == 3);
}

TEST_CASE("No more starts are placed than the leader's link can carry, but a gang is not split") {
  cell_builder cell;
  cell.add_runner("a", gpu_runner);
  live_job& job = cell.add_job("j", cell_builder::step(20, small_task));
  cell.state.sendable_bytes = 4 * start_command_bytes(job.spec().payload);
  CHECK(decide(cell).placements.size() == 4);
  cell.state.sendable_bytes = 0;
  CHECK(decide(cell).placements.empty());

  cell_builder other;
  other.add_runner("a", gpu_runner);
  step_spec gang = cell_builder::step(3, small_task);
  gang.gang = true;
  other.add_job("j", gang);
  other.state.sendable_bytes = 1;
  CHECK(decide(other).placements.size() == 3);
}

TEST_CASE("All members of a gang are placed, or none") {
  cell_builder cell;
  cell.add_runner("a", gpu_runner);
  step_spec gang = cell_builder::step(3, gpu_task);
  gang.gang = true;
  live_job& job = cell.add_job("j", gang);
  CHECK(decide(cell).placements.empty());
  CHECK(job.phase() == job_phase::queued);
  CHECK(cell.state.runners.find("a")->used.zero());
  CHECK(cell.state.teams.used(team_id("t")).zero());
  cell.add_runner("b", gpu_runner);
  const plan p = decide(cell);
  REQUIRE(p.placements.size() == 3);
  for (const placement& each : p.placements) {
    CHECK(each.run == p.placements.front().run);
  }
}

TEST_CASE("Runners that are reserved for a gang are not filled up by less urgent work") {
  cell_builder cell;
  cell.add_runner("a", gpu_runner);
  cell.add_runner("b", gpu_runner);
  step_spec running = cell_builder::step(1, gpu_task);
  running.estimate = millis{5'000};
  cell.add_job("resident", running);
  REQUIRE(decide(cell).placements.size() == 1);
  step_spec gang = cell_builder::step(2, {millicores{1}, mebibytes{1}, devices{8}});
  gang.gang = true;
  cell.add_job("a-gang", gang);
  step_spec small = cell_builder::step(1, gpu_task);
  small.estimate = millis{20'000};  // Ends long after the running task.
  cell.add_job("b-small", small);
  CHECK(decide(cell).placements.empty());
}

// The entry of another writer may tell of a runner that no runner is.
TEST_CASE("A runner that has not answered takes no reservation from those that have") {
  for (const std::int64_t size : {8, 1'000'000'000}) {
    cell_builder cell;
    cell.add_runner("a", gpu_runner);
    cell.add_runner("b", gpu_runner);
    const resources claimed{millicores{size}, mebibytes{size}, devices{size}};
    cell.add_runner("odd", claimed).admitted = false;
    step_spec running = cell_builder::step(1, gpu_task);
    running.estimate = millis{5'000};
    cell.add_job("resident", running);
    REQUIRE(decide(cell).placements.size() == 1);
    step_spec gang = cell_builder::step(2, {millicores{1}, mebibytes{1}, devices{8}});
    gang.gang = true;
    cell.add_job("a-gang", gang);
    step_spec small = cell_builder::step(1, gpu_task);
    small.estimate = millis{20'000};
    cell.add_job("b-small", small);
    CHECK(decide(cell).placements.empty());
  }
}

TEST_CASE("A runner that has not answered does not make large tasks count as small") {
  cell_builder cell;
  cell.add_runner("a", gpu_runner);
  const resources claimed{millicores{1'000'000'000}, mebibytes{1}, devices{1'000'000'000}};
  cell.add_runner("odd", claimed).admitted = false;
  step_spec running = cell_builder::step(1, gpu_task);
  running.estimate = millis{5'000};
  cell.add_job("resident", running);
  REQUIRE(decide(cell).placements.size() == 1);
  cell.add_job("a-large", cell_builder::step(1, {millicores{1}, mebibytes{1}, devices{8}}));
  step_spec small = cell_builder::step(1, gpu_task);
  small.estimate = millis{20'000};
  cell.add_job("b-small", small);
  CHECK(decide(cell).placements.empty());
}

TEST_CASE("A gang that fits nowhere reserves nothing, and short work may use reserved runners") {
  cell_builder cell;
  cell.add_runner("a", gpu_runner);
  step_spec gang = cell_builder::step(3, {millicores{1}, mebibytes{1}, devices{8}});
  gang.gang = true;
  cell.add_job("a-gang", gang);
  cell.add_job("b-small", cell_builder::step(1, gpu_task));
  CHECK(decide(cell).placements.size() == 1);  // The gang needs three empty runners; there is one.

  cell_builder busy;
  busy.add_runner("a", gpu_runner);
  step_spec running = cell_builder::step(1, gpu_task);
  running.estimate = millis{9'000};
  busy.add_job("resident", running);
  REQUIRE(decide(busy).placements.size() == 1);
  gang.count = 1;
  busy.add_job("a-gang", gang);
  step_spec brief = cell_builder::step(1, gpu_task);
  brief.estimate = millis{2'000};
  busy.add_job("b-brief", brief);
  step_spec same = cell_builder::step(1, gpu_task);
  same.estimate = millis{20'000};
  busy.add_job("c-long", same);
  const plan p = decide(busy);
  REQUIRE(p.placements.size() == 1);
  CHECK(p.placements[0].task.in.job == job_id("b-brief"));
}

// Short tasks keep arriving and take longer than their declared time. Returns how long a
// gang that needs a whole runner waits.
millis wait_of_gang(std::uint32_t seed) {
  std::mt19937 random(seed);
  cell_builder cell;
  cell.queue().stretch = 1'000;  // No job is ever late.
  for (const char* id : {"a", "b", "c", "d"}) {
    cell.add_runner(id, gpu_runner);
  }
  placer planner(cell.state);
  std::vector<std::pair<placement, instant>> running;
  step_spec quarter = cell_builder::step(1, {millicores{1}, mebibytes{1}, devices{2}});
  quarter.estimate = millis{200};
  step_spec gang = cell_builder::step(1, {millicores{1}, mebibytes{1}, devices{8}});
  gang.gang = true;
  gang.estimate = millis{100};  // More urgent than the short tasks.
  constexpr int warm_up = 40;
  constexpr int rounds = 400;
  const instant begin = cell.now + millis{50} * warm_up;
  for (int i = 0; i < rounds; ++i) {
    if (i == warm_up) {
      cell.add_job("gang", gang);
    }
    cell.add_job("s" + std::to_string(1'000 + i), quarter);
    for (const placement& p : planner.decide(cell.now, cell.now.value).placements) {
      if (p.task.in.job == job_id("gang")) {
        return cell.now - begin;
      }
      running.emplace_back(p, cell.now + millis{300 + static_cast<std::int64_t>(random() % 1'400)});
    }
    cell.now = cell.now + millis{50};
    std::erase_if(running, [&](const auto& run) {
      if (run.second > cell.now) {
        return false;
      }
      cell.state.runners.remove(run.first.runner, {run.first.task, run.first.run});
      cell.state.jobs.at(run.first.task.in.job).finish(run.first.task, 1, run_outcome::done, {});
      return true;
    });
  }
  return millis{50} * rounds;
}

TEST_CASE("A gang's reservation stays on its runner until the gang fits there") {
  // The longest run takes 1.7 s; a runner that stays reserved is empty by then.
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    CHECK(wait_of_gang(seed) <= millis{1'800});
  }
}

// Guards against a lasting job that waited behind a gang's reservation for as long as runs that
// were past their estimate kept the gang waiting.
TEST_CASE("A lasting task does not wait for long behind a reservation") {
  cell_builder cell;
  constexpr resources whole{millicores{8'000}, mebibytes{8'000}, devices{0}};
  constexpr resources half_core{millicores{500}, mebibytes{100}, devices{0}};
  constexpr resources most{millicores{7'800}, mebibytes{100}, devices{0}};
  for (const char* id : {"a", "b", "c", "d"}) {
    cell.add_runner(id, whole);
  }
  placer planner(cell.state);
  step_spec past_estimate = cell_builder::step(4, half_core);
  past_estimate.anti_affinity = 1;
  cell.add_job("long", past_estimate);
  REQUIRE(planner.decide(cell.now, cell.now.value).placements.size() == 4);
  cell.now = cell.now + millis{2'000};
  step_spec gang = cell_builder::step(4, most);
  gang.gang = true;
  cell.add_job("gang", gang);
  step_spec lasting = cell_builder::step(1, half_core);
  lasting.long_running = true;
  cell.queue().stretch = 50;  // The gang is in time for as long as the test lasts.
  cell.add_queue("later", 1, 2);
  job_spec later;
  later.steps = {lasting};
  cell.add_job("lasting", later, "t", "later");
  constexpr millis bound{3'000};
  bool started = false;
  for (const instant until = cell.now + bound; cell.now < until && !started;) {
    started = !planner.decide(cell.now, cell.now.value).placements.empty();
    cell.now = cell.now + millis{50};
  }
  CHECK(started);
}

TEST_CASE("Labels and anti-affinity are respected, and the rack of the data is preferred") {
  cell_builder cell;
  cell.add_runner("a", small_runner, "r1");
  cell.add_runner("b", small_runner, "r2");
  step_spec labelled = cell_builder::step(1, small_task);
  labelled.required_label = "r2";
  cell.add_job("j1", labelled);
  step_spec apart = cell_builder::step(4, small_task);
  apart.anti_affinity = 1;
  cell.add_job("j2", apart);
  step_spec near = cell_builder::step(1, small_task);
  near.affinity_rack = "r1";
  cell.add_job("j3", near);
  std::map<std::string, std::vector<std::string>> runners;
  for (const placement& p : decide(cell).placements) {
    runners[p.task.in.job.text].push_back(p.runner);
  }
  CHECK(runners["j1"] == std::vector<std::string>{"b"});
  CHECK(runners["j2"].size() == 2);
  CHECK(runners["j3"] == std::vector<std::string>{"a"});
}

TEST_CASE("Best-effort and latency-sensitive work are not placed on the same runner") {
  cell_builder cell;
  cell.add_runner("a", small_runner);
  step_spec serving = cell_builder::step(1, small_task);
  serving.long_running = true;
  serving.target_latency = millis{50};
  cell.add_job("j1", serving);
  REQUIRE(decide(cell).placements.size() == 1);
  step_spec filling = cell_builder::step(1, small_task);
  filling.best_effort = true;
  cell.add_job("j2", filling);
  CHECK(decide(cell).placements.empty());
}

TEST_CASE("In a queue that needs advice no task starts without a valid ticket") {
  cell_builder cell;
  cell.queue().advice = advice_config{20, 1, millis{2'000}};
  cell.add_runner("a", small_runner);
  cell.add_runner("b", small_runner);
  cell.add_job("j", cell_builder::step(1, small_task));
  plan p = decide(cell);
  CHECK(p.placements.empty());
  REQUIRE(p.advice_queries.size() == 1);
  CHECK(p.advice_queries[0].runners.size() == 2);
  cell.state.advice.answer(p.advice_queries[0].step, p.advice_queries[0].runners, {{"b", "t1"}},
                           cell.now + millis{2'000});
  cell.now = cell.now + millis{1'900};  // Too close to the expiry of the ticket.
  p = decide(cell);
  CHECK(p.placements.empty());
  REQUIRE(p.advice_queries.size() == 1);
  CHECK(p.advice_queries[0].runners == std::vector<std::string>{"b"});  // Only the good one.
  cell.state.advice.answer(p.advice_queries[0].step, p.advice_queries[0].runners, {{"b", "t2"}},
                           cell.now + millis{2'000});
  p = decide(cell);
  REQUIRE(p.placements.size() == 1);
  CHECK(p.placements[0].ticket == "t2");
}

TEST_CASE("Advice for a step is queried shortly before the step is ready") {
  cell_builder cell;
  cell.queue().advice = advice_config{20, 1, millis{2'000}};
  cell.add_runner("a", small_runner);
  job_spec spec;
  spec.steps = {cell_builder::step(1, small_task), cell_builder::step(1, small_task)};
  spec.steps[0].estimate = millis{5'000};
  spec.steps[1].depends_on = {0};
  cell.add_job("j", spec);
  plan p = decide(cell);
  REQUIRE(p.advice_queries.size() == 1);
  cell.state.advice.answer(p.advice_queries[0].step, {"a"}, {{"a", "t"}}, cell.now + millis{2'000});
  p = decide(cell);
  CHECK(p.placements.size() == 1);
  CHECK(p.advice_queries.empty());
  cell.now = cell.now + millis{4'500};
  p = decide(cell);
  CHECK(p.placements.empty());
  REQUIRE(p.advice_queries.size() == 1);
  CHECK(p.advice_queries[0].step.step == 1);
}

TEST_CASE("A round in an overloaded cell sends a bounded number of advice queries") {
  cell_builder cell;
  cell.queue().advice = advice_config{20, 1, millis{2'000}};
  for (int i = 0; i < 300; ++i) {
    cell.add_runner("r" + std::to_string(i), small_runner);  // Room for all of them.
    cell.add_job("j" + std::to_string(i), cell_builder::step(1, small_task));
  }
  CHECK(decide(cell).advice_queries.size() ==
        placer_options{}.queries_per_daemon * cell.state.advising_daemons);
}

// Compares the accounting with a recount: whatever is placed in random cells, no runner
// exceeds its capacity, no team exceeds its quota, and the used resources equal the sum over
// the running tasks.
TEST_CASE("Runners and teams of random cells are never overcommitted") {
  for (std::uint32_t seed = 0; seed < 300; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto pick = [&random](int most) { return static_cast<std::int64_t>(random() % most); };
    cell_builder cell;
    cell.state.config.teams[0].limit = {millicores{5'000 + pick(20'000)}, mebibytes{0},
                                        devices{pick(12)}};
    for (int r = 0; r < 5; ++r) {
      cell.add_runner(
          "r" + std::to_string(r),
          {millicores{1'000 + pick(8'000)}, mebibytes{200 + pick(2'000)}, devices{pick(9)}},
          "rack" + std::to_string(r % 2));
    }
    for (int j = 0; j < 12; ++j) {
      const auto tasks = 1 + static_cast<std::int32_t>(pick(6));
      step_spec step = cell_builder::step(
          tasks, {millicores{1 + pick(3'000)}, mebibytes{1 + pick(500)}, devices{pick(4)}});
      step.gang = pick(3) == 0;
      step.best_effort = pick(4) == 0;
      step.same_rack = pick(4) == 0;
      step.anti_affinity = static_cast<std::int32_t>(pick(3));
      cell.add_job("j" + std::to_string(j), step);
    }
    std::vector<placement> running;
    for (int round = 0; round < 20; ++round) {
      for (const placement& p : decide(cell).placements) {
        running.push_back(p);
      }
      std::shuffle(running.begin(), running.end(), random);
      for (int e = 0; e < 3 && !running.empty(); ++e) {
        const placement p = running.back();
        running.pop_back();
        live_job& job = cell.state.jobs.at(p.task.in.job);
        const step_spec& shape = job.spec().steps[0];
        cell.state.runners.remove(p.runner, {p.task, p.run});
        cell.state.teams.remove(team_id("t"), shape.need);
        job.finish(p.task, p.run, pick(2) == 0 ? run_outcome::done : run_outcome::lost, {});
      }
      std::map<std::string, resources> used;
      resources team;
      for (const placement& p : running) {
        const step_spec& shape = cell.state.jobs.at(p.task.in.job).spec().steps[0];
        resources need = shape.need;
        team += need;
        if (shape.best_effort) {
          need.cpu = millicores{0};
        }
        used[p.runner] += need;
      }
      for (auto& [id, runner] : cell.state.runners.all()) {
        REQUIRE(runner.used == used[id]);
        REQUIRE(used[id].fits(runner.entry.capacity));
      }
      const resources& limit = cell.state.config.teams[0].limit;
      REQUIRE(team == cell.state.teams.used(team_id("t")));
      REQUIRE(team.cpu <= limit.cpu);
      REQUIRE((limit.accelerators.value == 0 || team.accelerators <= limit.accelerators));
    }
  }
}

TEST_CASE("A long-running task of an old job does not wait behind all others") {
  cell_builder cell;
  cell.add_runner("a", {millicores{1'000}, mebibytes{1'000}, devices{0}});
  step_spec lasting = cell_builder::step(1, small_task);
  lasting.long_running = true;
  cell.add_job("lasting", lasting);
  cell.now = cell.now + millis{60'000};
  cell.add_job("fresh", cell_builder::step(1, small_task));
  const plan p = decide(cell);
  REQUIRE(p.placements.size() == 1);
  CHECK(p.placements[0].task.in.job == job_id("lasting"));
}

// A full runner, a lasting step of the least urgent queue, of which tasks of the given number have
// lost their run, and a stream of short tasks of the most urgent queue.
struct interrupted_beside_short : cell_builder {
  explicit interrupted_beside_short(int interrupted, int never_ran = 0,
                                    const resources& need = small_task) {
    constexpr std::int32_t least_urgent = 4;
    this->add_queue("lasting", least_urgent, 2);
    this->add_runner("a", small_runner);
    step_spec lasting = step(interrupted + never_ran, need);
    lasting.long_running = true;
    job_spec spec;
    spec.steps = {lasting};
    this->lasting = &this->add_job("lasting", spec, "t", "lasting");
    for (std::int32_t i = 0; i < interrupted; ++i) {
      const task_ref task{{job_id("lasting"), 0, 0}, i};
      this->lasting->place(task, 1, "lost", 1, this->now);
      this->lasting->finish(task, 1, run_outcome::lost, {});
      this->lasting->find(task)->waits_since = this->now;
    }
    this->add_job("short", step(100, small_task));
  }
  // The tasks of the lasting step that a round places.
  std::vector<std::int32_t> placed() {
    std::vector<std::int32_t> out;
    for (const placement& p : decide(*this).placements) {
      if (p.task.in.job == job_id("lasting")) {
        out.push_back(p.task.index);
      }
    }
    return out;
  }

  live_job* lasting = nullptr;
};

TEST_CASE("An interrupted lasting task gets the first room, beside more urgent short ones") {
  interrupted_beside_short cell(2);
  CHECK(cell.placed() == std::vector<std::int32_t>{0, 1});
}

TEST_CASE("An interrupted lasting task gets the first room although its team is over its share") {
  interrupted_beside_short cell(1);
  cell.state.config.teams.push_back({team_id("u"), {"other"}, 1, {}});
  cell.state.teams.add(team_id("t"), {millicores{8'000}, mebibytes{800}, devices{0}});
  cell.state.teams.add(team_id("u"), {millicores{1'000}, mebibytes{100}, devices{0}});
  cell.add_job("other", cell_builder::step(100, small_task), "u");
  CHECK(cell.placed() == std::vector<std::int32_t>{0});
}

TEST_CASE("Tasks of an interrupted step that never ran keep the place of their queue") {
  interrupted_beside_short cell(1, 3);
  CHECK(cell.placed() == std::vector<std::int32_t>{0});
}

TEST_CASE("An interrupted suspect that waits to be alone does not hold up its step's others") {
  interrupted_beside_short cell(2);
  cell.lasting->find({{job_id("lasting"), 0, 0}, 0})->crashes = crashes_until_alone;
  allocation lasting;
  lasting.task = {{job_id("other"), 0, 0}, 0};
  lasting.run = 1;
  lasting.capacity_used = small_task;
  cell.add_runner("b", small_runner);
  cell.state.runners.add("a", lasting);
  cell.state.runners.add("b", lasting);
  const std::vector<std::int32_t> placed = cell.placed();
  CHECK(std::count(placed.begin(), placed.end(), 1) == 1);
}

TEST_CASE("An interrupted lasting task preempts by the priority of its queue") {
  interrupted_beside_short cell(1);
  cell.state.jobs.erase(job_id("short"));
  for (std::int32_t i = 0; i < 4; ++i) {
    allocation run;
    run.task = {{job_id("resumable"), 0, 0}, i};
    run.run = 1;
    run.since = cell.now;
    run.expected = millis{60'000};
    run.capacity_used = small_task;
    run.resumable = true;
    run.slack = millis{1'000'000};
    run.priority = 3;  // Before that of the lasting task's queue.
    cell.state.runners.add("a", run);
  }
  const plan p = decide(cell);
  CHECK(p.placements.empty());
  CHECK(p.preemptions.empty());
}

TEST_CASE("Room for an interrupted lasting task is not taken piece by piece by short ones") {
  constexpr resources runner_size{millicores{16'000}, mebibytes{16'000}, devices{0}};
  constexpr resources two_pieces{millicores{2'000}, mebibytes{100}, devices{0}};
  interrupted_beside_short cell(1, 0, two_pieces);
  live_task& lasting = *cell.lasting->find({{job_id("lasting"), 0, 0}, 0});
  cell.state.runners.erase("a");
  cell.add_runner("large", runner_size);
  lasting.held = true;
  CHECK(decide(cell).placements.size() == 16);
  lasting.held = false;
  for (std::int32_t i = 0; i < 2; ++i) {
    cell.now = cell.now + millis{400};
    CHECK(cell.placed().empty());
    const task_ref task{{job_id("short"), 0, 0}, i};
    cell.state.jobs.at(job_id("short")).finish(task, 1, run_outcome::done, {});
    cell.state.runners.remove("large", {task, 1});
  }
  CHECK(cell.placed() == std::vector<std::int32_t>{0});
}

TEST_CASE("A runner whose runs are long overdue is not reserved before one whose runs end soon") {
  constexpr resources most_of_it{millicores{3'000}, mebibytes{300}, devices{0}};
  cell_builder cell;
  cell.add_runner("overdue", small_runner);
  cell.add_runner("ends", small_runner);
  const auto fill = [&](const std::string& runner, std::int32_t index, millis age) {
    allocation run;
    run.task = {{job_id("running"), 0, 0}, index};
    run.run = 1;
    run.since = cell.now - age;
    run.expected = millis{1'000};
    run.capacity_used = most_of_it;
    cell.state.runners.add(runner, run);
  };
  fill("overdue", 0, millis{10'000});
  fill("ends", 1, millis{500});
  cell.add_job("large", cell_builder::step(1, small_runner));
  cell.add_job("small", cell_builder::step(1, small_task));
  const plan p = decide(cell);
  REQUIRE(p.placements.size() == 1);
  CHECK(p.placements[0].runner == "overdue");
}

// A full runner of 16 short runs, an interrupted lasting task that needs the room of two, and more
// short tasks.
struct interrupted_on_full_runner : interrupted_beside_short {
  interrupted_on_full_runner() : interrupted_beside_short(1, 0, two_pieces) {
    constexpr resources runner_size{millicores{16'000}, mebibytes{16'000}, devices{0}};
    this->state.runners.erase("a");
    this->add_runner("full", runner_size);
    live_task& task = *this->lasting->find({{job_id("lasting"), 0, 0}, 0});
    task.held = true;
    this->decide_round();
    task.held = false;
  }
  // One after the other the 16 runs end. Returns whether the lasting task was placed meanwhile.
  bool placed_while_runs_end() {
    constexpr millis between_ends{400};
    bool placed = false;
    for (std::int32_t i = 0; i < 16; ++i) {
      this->now = this->now + between_ends;
      const task_ref task{{job_id("short"), 0, 0}, i};
      this->state.jobs.at(job_id("short")).finish(task, 1, run_outcome::done, {});
      this->state.runners.remove("full", {task, 1});
      for (const placement& p : this->decide_round()) {
        placed = placed || p.task.in.job == job_id("lasting");
      }
    }
    return placed;
  }
  std::vector<placement> decide_round() {
    return this->planner.decide(this->now, this->now.value).placements;
  }

  static constexpr resources two_pieces{millicores{2'000}, mebibytes{100}, devices{0}};
  placer planner{this->state};
};

TEST_CASE("A runner in quarantine takes no reservation from those that take work") {
  interrupted_on_full_runner cell;
  constexpr millis long_time{8'000};
  cell.add_runner("quarantined", interrupted_on_full_runner::two_pieces).quarantined_until =
      cell.now + long_time;
  CHECK(cell.placed_while_runs_end());
}

TEST_CASE("Lasting tasks that never ran do not take the room of an interrupted one") {
  interrupted_on_full_runner cell;
  step_spec lasting = cell_builder::step(50, small_task);
  lasting.long_running = true;
  cell.add_job("new", lasting);
  constexpr millis longer_than_max_hold{3'000};
  for (millis passed{0}; passed < longer_than_max_hold; passed += millis{100}) {
    cell.decide_round();
    cell.now = cell.now + millis{100};
  }
  CHECK(cell.placed_while_runs_end());
}

TEST_CASE("No run is preempted for room that an overdue run withholds") {
  constexpr resources half{millicores{2'000}, mebibytes{500}, devices{0}};
  constexpr std::int32_t less_urgent = 5;
  cell_builder cell;
  cell.add_runner("a", small_runner);
  for (std::int32_t i = 0; i < 3; ++i) {
    allocation run;
    run.task = {{job_id("running"), 0, 0}, i};
    run.run = 1;
    run.since = cell.now - millis{10'000};
    run.expected = i == 0 ? millis{1'000} : millis{60'000};
    run.capacity_used = i == 0 ? half : small_task;
    run.resumable = i > 0;
    run.slack = millis{60'000};
    run.priority = less_urgent;
    cell.state.runners.add("a", run);
  }
  cell.add_job("large", cell_builder::step(1, small_runner));
  CHECK(decide(cell).preemptions.empty());
}

TEST_CASE("A run is preempted although another one beside it is long overdue") {
  constexpr resources half{millicores{2'000}, mebibytes{500}, devices{0}};
  constexpr std::int32_t less_urgent = 5;
  cell_builder cell;
  cell.add_runner("a", small_runner);
  allocation overdue;
  overdue.task = {{job_id("running"), 0, 0}, 0};
  overdue.run = 1;
  overdue.since = cell.now - millis{10'000};
  overdue.expected = millis{1'000};
  overdue.capacity_used = half;
  allocation resumable = overdue;
  resumable.task.index = 1;
  resumable.expected = millis{60'000};
  resumable.resumable = true;
  resumable.slack = millis{60'000};
  resumable.priority = less_urgent;
  cell.state.runners.add("a", overdue);
  cell.state.runners.add("a", resumable);
  cell.add_job("large", cell_builder::step(1, half));
  const plan p = decide(cell);
  REQUIRE(p.preemptions.size() == 1);
  CHECK(p.preemptions[0].run.task == resumable.task);
}

TEST_CASE("Late work is placed after work that can still be in time") {
  cell_builder cell;
  cell.add_runner("a", {millicores{1'000}, mebibytes{1'000}, devices{0}});
  cell.add_job("late", cell_builder::step(1, small_task));
  cell.now = cell.now + millis{2'500};  // Past the objective of 2 s.
  cell.add_job("fresh", cell_builder::step(1, small_task));
  const plan p = decide(cell);
  REQUIRE(p.placements.size() == 1);
  CHECK(p.placements[0].task.in.job == job_id("fresh"));
}

// Marks that so many runners have crashed under the tasks of the job's first step.
void set_crashes(live_job& job, std::int32_t crashes) {
  for (live_task& task : job.occurrences().at(0).steps[0].tasks) {
    task.crashes = crashes;
  }
}

TEST_CASE("Tasks under which two runners crashed are placed on different runners") {
  cell_builder cell;
  cell.add_runner("a", small_runner);
  cell.add_runner("b", small_runner);
  set_crashes(cell.add_job("j", cell_builder::step(4, small_task)), 2);
  cell.add_job("other", cell_builder::step(4, small_task));
  const plan p = decide(cell);
  const auto suspects =
      std::count_if(p.placements.begin(), p.placements.end(),
                    [](const auto& each) { return each.task.in.job.text == "j"; });
  CHECK(suspects == 2);
  CHECK(p.placements.size() == 6);
}

TEST_CASE("A task under which three runners crashed is placed on an empty runner, and alone") {
  cell_builder cell;
  cell.add_runner("a", small_runner);
  cell.add_runner("b", small_runner);
  cell.add_job("resident", cell_builder::step(1, small_task));
  REQUIRE(decide(cell).placements.size() == 1);
  live_job& job = cell.add_job("j", cell_builder::step(1, small_task));
  set_crashes(job, 3);
  cell.add_job("other", cell_builder::step(8, small_task));
  const plan p = decide(cell);
  const task_ref suspect{{job_id("j"), 0, 0}, 0};
  REQUIRE(job.find(suspect)->phase == task_phase::placed);
  CHECK(job.find(suspect)->alone);
  CHECK(cell.state.runners.find(job.find(suspect)->runner)->allocations.size() == 1);
  CHECK(p.placements.size() == 4);
}

// Guards against a step of suspects that takes a runner of its own for each of its tasks, although
// its job is over as soon as one of them is given up.
TEST_CASE("The suspects of a step are tried alone one at a time") {
  cell_builder cell;
  for (const char* id : {"a", "b", "c"}) {
    cell.add_runner(id, small_runner);
  }
  set_crashes(cell.add_job("j", cell_builder::step(3, small_task)), crashes_until_alone);
  placer planner(cell.state);
  CHECK(planner.decide(cell.now, cell.now.value).placements.size() == 1);
  CHECK(planner.decide(cell.now, cell.now.value).placements.empty());
}

TEST_CASE("A runner is emptied for a task that is to be alone") {
  cell_builder cell;
  cell.add_runner("a", small_runner);
  step_spec brief = cell_builder::step(2, small_task);
  cell.add_job("resident", brief);
  REQUIRE(decide(cell).placements.size() == 2);
  live_job& job = cell.add_job("j", cell_builder::step(1, small_task));
  set_crashes(job, 3);
  step_spec late = cell_builder::step(2, small_task);
  late.estimate = millis{60'000};
  cell.add_job("other", late);
  placer planner(cell.state);
  CHECK(planner.decide(cell.now, cell.now.value).placements.empty());
  for (std::int32_t i = 0; i < 2; ++i) {
    cell.state.runners.remove("a", {{{job_id("resident"), 0, 0}, i}, 1});
  }
  const plan p = planner.decide(cell.now, cell.now.value);
  REQUIRE(p.placements.size() == 1);
  CHECK(p.placements.front().task.in.job.text == "j");
}

TEST_CASE("A task that is to be alone runs beside others where all runners have lasting tasks") {
  cell_builder cell;
  cell.add_runner("a", small_runner);
  step_spec lasting = cell_builder::step(1, small_task);
  lasting.long_running = true;
  cell.add_job("resident", lasting);
  REQUIRE(decide(cell).placements.size() == 1);
  live_job& job = cell.add_job("j", cell_builder::step(1, small_task));
  set_crashes(job, 3);
  CHECK(decide(cell).placements.size() == 1);
  CHECK_FALSE(job.find({{job_id("j"), 0, 0}, 0})->alone);
}

TEST_CASE("The members of a gang that is to be alone may share a runner, with nobody else") {
  cell_builder cell;
  cell.add_runner("a", gpu_runner);
  step_spec gang = cell_builder::step(2, gpu_task);
  gang.gang = true;
  live_job& job = cell.add_job("j", gang);
  set_crashes(job, 3);
  cell.add_job("other", cell_builder::step(1, small_task));
  CHECK(decide(cell).placements.size() == 2);
  CHECK(job.find({{job_id("j"), 0, 0}, 1})->alone);
}

}  // namespace
}  // namespace monsoonmux::cell
