// Guards against LOST: a lasting task that has run for long is blamed for a crash after a change of
// the leader, as the successor does not know when the run began.

#include <catch2/catch.hpp>

#include "decide/live_job.h"

namespace monsoonmux::cell {
namespace {

constexpr instant now{1'000'000};
constexpr millis enough{30'000};
constexpr instant later = now + enough + millis{1};
constexpr std::int32_t tasks = 4;

live_job make_job(bool lasting) {
  step_spec step;
  step.count = tasks;
  step.long_running = lasting;
  job_submission submission;
  submission.job = job_id("j");
  submission.spec.steps = {step};
  live_job job(submission, std::nullopt, 4, now, now);
  job.open_due(0);
  return job;
}

task_ref task(std::int32_t index) {
  return {{job_id("j"), 0, 0}, index};
}

void place(live_job& job, std::int32_t index, std::int32_t run, instant at) {
  job.place(task(index), run, "r" + std::to_string(index), 1, at);
}

// The job as a successor reads it.
live_job taken_over(const live_job& job) {
  const auto saved = decode_progress(encode(job.progress(epoch{4})));
  REQUIRE(saved.has_value());
  return live_job(job.submission(), saved, job.attempts(), later, now);
}

TEST_CASE("A successor knows which lasting runs have lasted for long") {
  live_job job = make_job(true);
  place(job, 0, 1, now);
  place(job, 1, 1, now);
  place(job, 2, 2, now);
  place(job, 3, 1, now + millis{1});
  CHECK_FALSE(job.note_lasted_runs(now + enough, enough));
  REQUIRE(job.note_lasted_runs(later, enough));
  CHECK_FALSE(job.note_lasted_runs(later, enough));
  CHECK(job.progress(epoch{4}).lasted.size() == 2);
  live_job back = taken_over(taken_over(job));
  CHECK(back.find(task(0))->lasted);
  CHECK(back.find(task(1))->lasted);
  CHECK(back.find(task(2))->lasted);
  CHECK_FALSE(back.find(task(3))->lasted);
}

TEST_CASE("The next run of a lasting task has not lasted because the one before it has") {
  live_job job = make_job(true);
  place(job, 0, 1, now);
  REQUIRE(job.note_lasted_runs(later, enough));
  live_job back = taken_over(job);
  back.finish(task(0), 1, run_outcome::lost, {});
  CHECK(back.progress(epoch{4}).lasted.empty());
  place(back, 0, 2, later);
  CHECK_FALSE(back.find(task(0))->lasted);
  CHECK_FALSE(taken_over(back).find(task(0))->lasted);
}

TEST_CASE("Only tasks that last are noted as having lasted") {
  live_job job = make_job(false);
  place(job, 0, 1, now);
  CHECK_FALSE(job.note_lasted_runs(later, enough));
  CHECK_FALSE(job.find(task(0))->lasted);
}

TEST_CASE("A record that names lasted runs which do not exist is read without them") {
  live_job job = make_job(true);
  place(job, 0, 1, now);
  job_progress saved = job.progress(epoch{4});
  saved.lasted = {{0, 0, 0, tasks + 1, 1}, {0, 1, 0, 1, 1}, {1, 0, 0, 1, 1}, {0, -1, -1, 5, 1}};
  live_job back(job.submission(), decode_progress(encode(saved)), job.attempts(), later, now);
  CHECK(back.find(task(0))->lasted);
  CHECK_FALSE(back.find(task(1))->lasted);
}

}  // namespace
}  // namespace monsoonmux::cell
