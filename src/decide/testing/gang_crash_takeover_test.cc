// Guards against LOST: one run of a gang whose runners crash together counts more than once, since
// the leader changes in between.

#include <catch2/catch.hpp>

#include "decide/live_job.h"

namespace monsoonmux::cell {
namespace {

constexpr instant now{1'000};
constexpr std::int32_t members = 5;

live_job make_gang() {
  step_spec step;
  step.count = members;
  step.gang = true;
  job_submission submission;
  submission.job = job_id("j");
  submission.spec.steps = {step};
  live_job job(submission, std::nullopt, 4, now, now);
  job.open_due(0);
  return job;
}

task_ref member(std::int32_t index) {
  return {{job_id("j"), 0, 0}, index};
}

// The job as a successor reads it.
live_job taken_over(const live_job& job) {
  const auto saved = decode_progress(encode(job.progress(epoch{4})));
  REQUIRE(saved.has_value());
  return live_job(job.submission(), saved, job.attempts(), now, now);
}

TEST_CASE("A run of a gang under which runners crash counts once, also over a takeover") {
  live_job job = make_gang();
  for (std::int32_t i = 0; i < members; ++i) {
    job.place(member(i), 1, "r" + std::to_string(i), 1, now);
  }
  job.finish(member(0), 1, run_outcome::crashed, {});
  live_job back = taken_over(job);
  back.finish(member(1), 1, run_outcome::crashed, {});
  CHECK(back.find(member(0))->crashes == 1);
  CHECK(back.find(member(1))->crashes == 1);
}

TEST_CASE("A gang is not given up for one run, whatever number of leaders count it") {
  live_job job = make_gang();
  for (std::int32_t i = 0; i < members; ++i) {
    job.place(member(i), 1, "r" + std::to_string(i), 1, now);
  }
  for (std::int32_t i = 0; i < members; ++i) {
    job.finish(member(i), 1, run_outcome::crashed, {});
    job = taken_over(job);
  }
  CHECK(job.phase() == job_phase::running);
  CHECK(job.find(member(0))->crashes == 1);
}

TEST_CASE("Each run of a gang under which a runner crashes counts, whatever leader counts it") {
  live_job job = make_gang();
  for (std::int32_t run = 1; run <= 2; ++run) {
    for (std::int32_t i = 0; i < members; ++i) {
      job.place(member(i), run, "r" + std::to_string(i), 1, now);
    }
    job.finish(member(0), run, run_outcome::crashed, {});
    for (std::int32_t i = 1; i < members; ++i) {
      job.finish(member(i), run, run_outcome::stopped, {});
    }
    job = taken_over(job);
  }
  CHECK(job.find(member(0))->crashes == 2);
  CHECK(job.find(member(members - 1))->crashes == 2);
}

TEST_CASE("A crash that a previous leader counted remains when another member's is disproved") {
  live_job job = make_gang();
  for (std::int32_t i = 0; i < members; ++i) {
    job.place(member(i), 1, "r" + std::to_string(i), 1, now);
  }
  job.finish(member(0), 1, run_outcome::crashed, {});
  job = taken_over(job);
  job.finish(member(1), 1, run_outcome::crashed, {});
  job.disprove_crash(member(1), 1);
  CHECK(job.find(member(0))->crashes == 1);
}

}  // namespace
}  // namespace monsoonmux::cell
