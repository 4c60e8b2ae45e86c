#include "state/replica.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace monsoonmux {
namespace {

constexpr instant now{1'000};

std::string entry(std::int64_t sequence, std::vector<record> records,
                  const std::string& writer = "w") {
  return encode({daemon_id(writer), 1, sequence, std::move(records)});
}

config_patch patch(std::int64_t base, const std::string& text) {
  return {{base}, text, "op", 0};
}

job make_job(const std::string& name, int tasks) {
  job j;
  j.spec.id = job_id(name);
  j.spec.team = team_id("a");
  j.spec.tasks = tasks;
  j.tasks.resize(static_cast<std::size_t>(tasks));
  j.parts = {{domain_id("d"), 0, tasks}};
  return j;
}

task_update update(const std::string& name, int attempt, task_phase phase) {
  task_state state;
  state.attempt = attempt;
  state.phase = phase;
  return {{job_id(name), 0}, state};
}

}  // namespace

TEST_CASE("log order decides between concurrent config patches") {
  replica one;
  one.apply(entry(1, {patch(0, R"({"teams":{"a":{}}})")}, "x"), now);
  one.apply(entry(1, {patch(0, R"({"teams":{"b":{}}})")}, "y"), now);
  CHECK(one.config()->version.value == 1);
  CHECK(one.config()->doc.teams.count(team_id("a")) == 1);
  CHECK(one.config()->doc.teams.count(team_id("b")) == 0);
}

TEST_CASE("a writer is notified of the outcome of each of its records") {
  replica one;
  std::vector<record_outcome> seen;
  one.watch_own_records(daemon_id("w"), 1,
                        [&](std::int64_t, std::size_t, record_outcome o) { seen.push_back(o); });
  one.apply(entry(1, {patch(0, R"({"teams":{"a":{}}})"), patch(0, "{}"), patch(1, "[]")}), now);
  CHECK(seen ==
        std::vector{record_outcome::applied, record_outcome::lost_race, record_outcome::invalid});
}

TEST_CASE("a repeated entry and foreign bytes change nothing") {
  replica one;
  const std::string bytes = entry(1, {patch(0, "{}")});
  one.apply(bytes, now);
  one.apply(bytes, now);
  one.apply("junk", now);
  CHECK(one.config()->version.value == 1);
  CHECK(one.skipped_entries() == 1);
}

TEST_CASE("the version of the configuration never decreases") {
  replica one;
  one.apply(entry(1, {config_refresh{{5}, "{}", {}}}), now);
  one.apply(entry(2, {config_refresh{{4}, R"({"teams":{"a":{}}})", {}}}), now);
  CHECK(one.config()->version.value == 5);
  CHECK(one.config()->doc.teams.empty());
}

TEST_CASE("a late old copy of a job does not undo its completion") {
  replica one;
  one.apply(entry(1, {job_record{make_job("j", 1)}}), now);
  one.apply(entry(2, {task_updates{{update("j", 1, task_phase::succeeded)}}}), now);
  one.apply(entry(3, {job_record{make_job("j", 1)}}), now);
  one.apply(entry(4, {task_updates{{update("j", 2, task_phase::running)}}}), now);
  CHECK(one.find_job(job_id("j"))->finished());
}

TEST_CASE("task updates give the same state in any order, also when repeated") {
  const std::vector<task_update> updates = {
      update("j", 1, task_phase::running), update("j", 2, task_phase::pending),
      update("j", 2, task_phase::running), update("j", 2, task_phase::succeeded)};
  std::vector<std::size_t> order = {0, 1, 2, 3};
  do {
    replica one;
    one.apply(entry(1, {job_record{make_job("j", 1)}}), now);
    std::int64_t sequence = 1;
    for (const std::size_t i : order) {
      one.apply(entry(++sequence, {task_updates{{updates[i]}}}), now);
      one.apply(entry(++sequence, {task_updates{{updates[order[0]]}}}), now);
    }
    const job j = *one.find_job(job_id("j"));
    CHECK(j.tasks[0].phase == task_phase::succeeded);
    CHECK(j.tasks[0].attempt == 2);
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("jobs that have to be written again are listed oldest first") {
  replica one;
  one.apply(entry(1, {job_record{make_job("old", 1)}}), {1'000});
  one.apply(entry(2, {job_record{make_job("new", 1)}}), {2'000});
  CHECK(one.jobs_written_before({2'000}, 8).size() == 1);
  CHECK(one.jobs_written_before({3'000}, 8).front().spec.id == job_id("old"));
  one.apply(entry(3, {job_record{make_job("old", 1)}}), {3'000});
  CHECK(one.jobs_written_before({3'000}, 8).front().spec.id == job_id("new"));
}

TEST_CASE("a snapshot rebuilds the state on an empty replica") {
  replica one;
  one.apply(entry(1, {patch(0, R"({"teams":{"a":{}},"domains":{"d":{"electors":["w"]}}})")}), now);
  one.apply(entry(2, {job_record{make_job("j", 2)}, worker_joined{worker_id("w"), domain_id("d")}}),
            now);
  one.apply(entry(3, {task_updates{{update("j", 1, task_phase::succeeded)}}}), now);
  replica two;
  for (const std::string& bytes : one.snapshot(1)) {
    two.apply(bytes, now);
  }
  CHECK(two.config()->version == one.config()->version);
  CHECK(two.find_job(job_id("j"))->tasks[0].phase == task_phase::succeeded);
  CHECK(two.workers(domain_id("d")).size() == 1);
}

TEST_CASE("changed_since reports each change once, and reports when changes were dropped") {
  replica one;
  std::int64_t cursor = 0;
  one.apply(entry(1, {job_record{make_job("a", 1)}}), now);
  CHECK(one.changed_since(cursor)->size() == 1);
  CHECK(one.changed_since(cursor)->empty());
  for (int i = 0; i < 8'200; ++i) {
    one.apply(entry(2 + i, {job_cancel{job_id("a")}}), now);
  }
  CHECK_FALSE(one.changed_since(cursor).has_value());
}

}  // namespace monsoonmux
