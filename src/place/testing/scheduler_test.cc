#include <catch2/catch.hpp>
#include <set>

#include "place/testing/units.h"

namespace monsoonmux {
namespace {

std::size_t tasks_started(const plan& p) {
  std::size_t n = 0;
  for (const unit_start& s : p.starts) {
    n += s.tasks.size();
  }
  return n;
}

int started_of(const plan& p, const std::string& team) {
  int n = 0;
  for (const unit_start& s : p.starts) {
    n += s.unit->team == team_id(team) ? static_cast<int>(s.tasks.size()) : 0;
  }
  return n;
}

void submit_many(scheduler& s, const std::string& team, int count, const resources& each,
                 instant since = {}) {
  for (int i = 0; i < count; ++i) {
    unit_options o;
    o.job = team + std::to_string(i) + "-" + std::to_string(since.value);
    o.team = team;
    o.per_task = each;
    o.since = since;
    s.submit(make_unit(o));
  }
}

}  // namespace

TEST_CASE("a full cell is divided by share, however much each team submits") {
  scheduler s({});
  add_workers(s, 10, cores(10));
  s.set_team(team_id("loud"), 1, unlimited());
  s.set_team(team_id("quiet"), 3, unlimited());
  submit_many(s, "loud", 2'000, cores(1));
  submit_many(s, "quiet", 80, cores(1));
  const plan p = s.decide({});
  CHECK(tasks_started(p) == 100);
  CHECK(started_of(p, "quiet") == 75);
  CHECK(started_of(p, "loud") == 25);
}

TEST_CASE("a team never exceeds its allowance, and its tasks stop when it is lowered") {
  scheduler s({});
  add_workers(s, 4, cores(10));
  s.set_team(team_id("a"), 1, cores(7));
  submit_many(s, "a", 20, cores(2));
  CHECK(tasks_started(s.decide({})) == 3);
  s.set_team(team_id("a"), 1, cores(4));
  const plan lowered = s.decide({});
  REQUIRE(lowered.stops.size() == 1);
  CHECK(lowered.stops[0].reason == stop_reason::over_limit);
  CHECK(s.decide({}).stops.empty());
}

TEST_CASE("a gang starts with all its tasks or not at all") {
  scheduler s({});
  add_workers(s, 3, cores(4));
  s.set_team(team_id("a"), 1, unlimited());
  unit_options gang{"g", "a", work_kind::gang};
  gang.per_task = cores(3);
  gang.tasks = 4;
  s.submit(make_unit(gang));
  CHECK(s.decide({}).starts.empty());
  gang.job = "h";
  gang.tasks = 3;
  s.submit(make_unit(gang));
  const plan p = s.decide({});
  REQUIRE(p.starts.size() == 1);
  CHECK(p.starts[0].tasks.size() == 3);
  CHECK_FALSE(s.fits_empty(*make_unit({"g", "a", work_kind::gang, urgency::normal, cores(3), 4})));
}

TEST_CASE("a service is spread over racks, then workers") {
  scheduler s({});
  add_workers(s, 6, cores(4), 2);
  s.set_team(team_id("a"), 1, unlimited());
  for (int i = 0; i < 6; ++i) {
    auto unit = make_unit({"svc", "a", work_kind::service});
    unit->tasks = {i};
    s.submit(unit);
  }
  std::set<worker_id> used;
  for (const unit_start& start : s.decide({}).starts) {
    used.insert(start.tasks[0].worker);
  }
  CHECK(used.size() == 6);
}

TEST_CASE("urgent work of a team below its share preempts a team above its share at once") {
  scheduler s({});
  add_workers(s, 2, cores(4));
  s.set_team(team_id("lender"), 1, unlimited());
  s.set_team(team_id("borrower"), 1, unlimited());
  submit_many(s, "borrower", 8, cores(1));
  CHECK(tasks_started(s.decide({})) == 8);
  unit_options urgent{"u", "lender", work_kind::batch, urgency::urgent, cores(2)};
  s.submit(make_unit(urgent));
  const plan p = s.decide({1'000});
  REQUIRE(p.stops.size() == 2);
  CHECK(p.stops[0].reason == stop_reason::reclaimed);
  CHECK(s.decide({1'100}).stops.empty());
  submit_many(s, "borrower", 2, cores(1), {1'000});
  for (const task_stop& stop : p.stops) {
    s.finish(stop.task);
  }
  const plan after = s.decide({1'200});
  REQUIRE(after.starts.size() == 1);
  CHECK(after.starts[0].unit->team == team_id("lender"));
}

TEST_CASE("a burst of urgent work preempts for all its units in one round") {
  scheduler s({});
  add_workers(s, 4, cores(8));
  s.set_team(team_id("a"), 1, unlimited());
  s.set_team(team_id("b"), 1, unlimited());
  submit_many(s, "b", 32, cores(1));
  CHECK(tasks_started(s.decide({})) == 32);
  for (int i = 0; i < 16; ++i) {
    s.submit(make_unit({"u" + std::to_string(i), "a", work_kind::batch, urgency::urgent}));
  }
  const plan p = s.decide({1'000});
  CHECK(p.stops.size() == 16);
  for (const task_stop& stop : p.stops) {
    s.finish(stop.task);
  }
  CHECK(started_of(s.decide({1'300}), "a") == 16);
}

TEST_CASE("urgent work above the team's share preempts nothing") {
  scheduler s({});
  add_workers(s, 2, cores(4));
  s.set_team(team_id("a"), 1, unlimited());
  s.set_team(team_id("b"), 1, unlimited());
  submit_many(s, "a", 4, cores(1));
  submit_many(s, "b", 4, cores(1));
  CHECK(tasks_started(s.decide({})) == 8);
  s.submit(make_unit({"u", "a", work_kind::batch, urgency::urgent, cores(1)}));
  CHECK(s.decide({60'000}).stops.empty());
}

TEST_CASE("the task with the least lost work is preempted") {
  scheduler s({});
  add_workers(s, 1, cores(2));
  s.set_team(team_id("a"), 1, unlimited());
  s.set_team(team_id("b"), 1, unlimited());
  submit_many(s, "b", 2, cores(1));
  const plan p = s.decide({});
  const task_id saved = p.starts[1].tasks[0].task;
  s.checkpointed(saved, {50'000});
  s.submit(make_unit({"u", "a", work_kind::batch, urgency::urgent, cores(1)}));
  const plan stop = s.decide({60'000});
  REQUIRE(stop.stops.size() == 1);
  CHECK(stop.stops[0].task == saved);
}

TEST_CASE("a waiting gang is not starved by small tasks, and short tasks backfill") {
  scheduler s({});
  add_workers(s, 2, cores(4));
  s.set_team(team_id("a"), 1, unlimited());
  s.set_team(team_id("b"), 1, unlimited());
  unit_options filler{"f", "b"};
  filler.per_task = cores(3);
  filler.declared = second * 100;
  s.submit(make_unit(filler));
  CHECK(tasks_started(s.decide({})) == 1);
  unit_options gang{"g", "a", work_kind::gang};
  gang.per_task = cores(3);
  gang.tasks = 2;
  s.submit(make_unit(gang));
  s.decide({20'000});
  REQUIRE(s.reservations().size() == 1);
  unit_options small{"long", "b"};
  small.per_task = cores(2);
  small.declared = second * 1'000;
  s.submit(make_unit(small));
  CHECK(s.decide({21'000}).starts.empty());
  small.job = "short";
  small.declared = second * 10;
  small.per_task = cores(4);
  s.submit(make_unit(small));
  CHECK(tasks_started(s.decide({22'000})) == 1);
  s.finish({job_id("short"), 0});
  s.finish({job_id("f"), 0});
  const plan p = s.decide({100'000});
  REQUIRE_FALSE(p.starts.empty());
  CHECK(p.starts[0].unit->kind == work_kind::gang);
}

TEST_CASE("a team at its share gets no reservation, however long its work waits") {
  scheduler s({});
  add_workers(s, 2, cores(4));
  s.set_team(team_id("a"), 1, unlimited());
  s.set_team(team_id("loud"), 1, unlimited());
  submit_many(s, "a", 4, cores(1));
  submit_many(s, "loud", 100, cores(1));
  CHECK(tasks_started(s.decide({})) == 8);
  CHECK(s.decide({600'000}).stops.empty());
  CHECK(s.reservations().size() == 0);
}

TEST_CASE("growing a task beyond its worker's free capacity is refused") {
  scheduler s({});
  add_workers(s, 1, cores(4));
  s.set_team(team_id("a"), 1, unlimited());
  submit_many(s, "a", 2, cores(1));
  const plan p = s.decide({});
  const task_id task = p.starts[0].tasks[0].task;
  CHECK(s.grow(task, cores(3)));
  CHECK(s.workers()[0].free == cores(0));
  CHECK_FALSE(s.grow(task, cores(4)));
  s.finish(task);
  CHECK(s.workers()[0].free == cores(3));
}

TEST_CASE("cancelling a job removes its waiting tasks and returns its running ones") {
  scheduler s({});
  add_workers(s, 1, cores(1));
  s.set_team(team_id("a"), 1, unlimited());
  for (int i = 0; i < 2; ++i) {
    auto unit = make_unit({"j", "a"});
    unit->tasks = {i};
    s.submit(unit);
  }
  CHECK(tasks_started(s.decide({})) == 1);
  CHECK(s.cancel(job_id("j"), stop_reason::cancelled).size() == 1);
  CHECK(s.waiting() == 0);
}

}  // namespace monsoonmux
