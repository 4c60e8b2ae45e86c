#include "decide/live_job.h"

#include <catch2/catch.hpp>

namespace monsoonmux::cell {
namespace {

constexpr instant now{1'000};

live_job make_job(const step_spec& step, std::int32_t attempts = 2) {
  job_submission submission;
  submission.job = job_id("j");
  submission.spec.steps = {step};
  live_job job(submission, std::nullopt, attempts, now, now);
  job.open_due(0);
  return job;
}

step_spec tasks(std::int32_t count, bool gang = false) {
  step_spec step;
  step.count = count;
  step.gang = gang;
  return step;
}

task_ref task(std::int32_t index) {
  return {{job_id("j"), 0, 0}, index};
}

TEST_CASE("Task names are parsed, and malformed ones are rejected") {
  const auto parsed = parse_task_ref(task(17).text());
  REQUIRE(parsed.has_value());
  CHECK(*parsed == task(17));
  for (const char* text : {"", "j", "j.0.0", "j.0.0.x", "j.0.0.1.2", ".0.0.1", "j.0.-1.1"}) {
    CHECK_FALSE(parse_task_ref(text).has_value());
  }
}

TEST_CASE("A job is completed when all its tasks are done") {
  live_job job = make_job(tasks(2));
  job.place(task(0), 1, "r", 0, now);
  job.place(task(1), 1, "r", 0, now);
  CHECK(job.phase() == job_phase::running);
  CHECK_FALSE(job.finish(task(0), 1, run_outcome::done, {}).job_final);
  CHECK(job.finish(task(1), 1, run_outcome::done, {}).job_final);
  CHECK(job.phase() == job_phase::completed);
}

TEST_CASE("The end of an earlier run changes nothing unless it is done") {
  live_job job = make_job(tasks(1));
  job.place(task(0), 1, "r", 0, now);
  job.finish(task(0), 1, run_outcome::lost, {});
  const auto none = {run_outcome::failed, run_outcome::stopped, run_outcome::lapsed};
  for (const run_outcome how : none) {
    CHECK_FALSE(job.finish(task(0), 1, how, "c").counted);
  }
  job.place(task(0), job.next_run(task(0)), "s", 0, now);
  for (const run_outcome how : none) {
    CHECK_FALSE(job.finish(task(0), 1, how, "c").counted);
  }
  CHECK(job.checkpoint_of(task(0)).empty());
  CHECK(job.find(task(0))->failures == 0);
  CHECK(job.finish(task(0), 2, run_outcome::done, {}).job_final);
}

TEST_CASE("A waiting task does not run again once an earlier run is listed as done") {
  live_job job = make_job(tasks(2));
  job.place(task(0), 1, "r", 0, now);
  job.finish(task(0), 1, run_outcome::lost, {});
  REQUIRE(job.find(task(0))->phase == task_phase::waiting);
  const end_effect effect = job.finish(task(0), 1, run_outcome::done, {});
  CHECK(effect.counted);
  CHECK(effect.superseded.empty());
  CHECK(job.find(task(0))->phase == task_phase::done);
  CHECK_FALSE(job.finish(task(0), 1, run_outcome::done, {}).counted);
}

TEST_CASE("A later run is superseded once an earlier run is listed as done") {
  live_job job = make_job(tasks(1));
  job.place(task(0), 1, "r", 0, now);
  job.finish(task(0), 1, run_outcome::lost, {});
  job.place(task(0), 2, "s", 0, now);
  const end_effect effect = job.finish(task(0), 1, run_outcome::done, {});
  CHECK(effect.job_final);
  REQUIRE(effect.superseded.size() == 1);
  CHECK(effect.superseded[0].runner == "s");
  CHECK(effect.superseded[0].task == task(0));
  CHECK(effect.superseded[0].run == 2);
  CHECK_FALSE(job.finish(task(0), 2, run_outcome::stopped, {}).counted);
  CHECK(job.phase() == job_phase::completed);
}

TEST_CASE("A gang is done once a member's earlier run is listed as done") {
  live_job job = make_job(tasks(3, true));
  for (int i = 0; i < 3; ++i) {
    job.place(task(i), 1, "r", 0, now);
    job.finish(task(i), 1, run_outcome::lost, {});
  }
  SECTION("while the gang waits") {
    const end_effect effect = job.finish(task(1), 1, run_outcome::done, {});
    CHECK(effect.job_final);
    CHECK(effect.superseded.empty());
  }
  SECTION("while the gang is placed again") {
    for (int i = 0; i < 3; ++i) {
      job.place(task(i), 2, "s" + std::to_string(i), 0, now);
    }
    const end_effect effect = job.finish(task(1), 1, run_outcome::done, {});
    CHECK(effect.job_final);
    CHECK(effect.superseded.size() == 3);
  }
}

TEST_CASE("The members of a run that is done are not superseded by a member that was given up") {
  live_job job = make_job(tasks(2, true));
  job.place(task(0), 1, "r0", 0, now);
  job.place(task(1), 1, "r1", 0, now);
  job.finish(task(0), 1, run_outcome::lost, {});
  const end_effect effect = job.finish(task(0), 1, run_outcome::done, {});
  CHECK(effect.job_final);
  CHECK(effect.superseded.empty());
}

TEST_CASE(
    "An earlier run that is listed as done changes no task that lasts and no job that is over") {
  step_spec lasting = tasks(1);
  lasting.long_running = true;
  live_job service = make_job(lasting);
  service.place(task(0), 1, "r", 0, now);
  service.finish(task(0), 1, run_outcome::lost, {});
  CHECK_FALSE(service.finish(task(0), 1, run_outcome::done, {}).counted);

  live_job cancelled = make_job(tasks(1));
  cancelled.place(task(0), 1, "r", 0, now);
  cancelled.finish(task(0), 1, run_outcome::lost, {});
  cancelled.cancel();
  CHECK_FALSE(cancelled.finish(task(0), 1, run_outcome::done, {}).counted);
  CHECK(cancelled.phase() == job_phase::cancelled);
}

TEST_CASE("Only failed runs use up attempts") {
  live_job job = make_job(tasks(1), 2);
  for (const run_outcome outcome :
       {run_outcome::stopped, run_outcome::lapsed, run_outcome::lost, run_outcome::failed}) {
    job.place(task(0), job.next_run(task(0)), "r", 0, now);
    CHECK_FALSE(job.finish(task(0), job.next_run(task(0)) - 1, outcome, {}).job_final);
  }
  job.place(task(0), 5, "r", 0, now);
  CHECK(job.finish(task(0), 5, run_outcome::failed, {}).job_final);
  CHECK(job.phase() == job_phase::failed);
}

// Guards against a gang's failure that counted twice: its members fail together, and the leader
// changes in between.
TEST_CASE("A failed run of a gang counts once, also over a takeover") {
  live_job job = make_job(tasks(2, true), 2);
  job.place(task(0), 1, "r", 0, now);
  job.place(task(1), 1, "s", 0, now);
  CHECK_FALSE(job.finish(task(0), 1, run_outcome::failed, {}).job_final);
  const auto saved = decode_progress(encode(job.progress(epoch{4})));
  REQUIRE(saved.has_value());
  live_job back(job.submission(), saved, 2, now, now);
  CHECK_FALSE(back.finish(task(1), 1, run_outcome::failed, {}).job_final);
  back.place(task(0), 2, "r", 0, now);
  back.place(task(1), 2, "s", 0, now);
  CHECK(back.find(task(0))->failures == 1);
  CHECK(back.find(task(1))->failures == 1);
  CHECK(back.finish(task(1), 2, run_outcome::failed, {}).job_final);
}

TEST_CASE("A gang of which a different member fails in each run is out of attempts in time") {
  constexpr std::int32_t attempts = 3;
  live_job job = make_job(tasks(3, true), attempts);
  for (std::int32_t run = 1; run <= attempts; ++run) {
    for (std::int32_t member = 0; member < 3; ++member) {
      job.place(task(member), run, "r", 0, now);
    }
    CHECK(job.finish(task(run - 1), run, run_outcome::failed, {}).job_final == (run == attempts));
    for (std::int32_t member = 0; member < 3; ++member) {
      job.finish(task(member), run, run_outcome::stopped, {});
    }
  }
}

TEST_CASE("Changed attempts hold for a job that is open") {
  live_job job = make_job(tasks(1), 1);
  CHECK_FALSE(job.set_attempts(3));
  job.place(task(0), 1, "r", 0, now);
  CHECK_FALSE(job.finish(task(0), 1, run_outcome::failed, {}).job_final);
  job.place(task(0), 2, "r", 0, now);
  CHECK_FALSE(job.finish(task(0), 2, run_outcome::failed, {}).job_final);
  CHECK(job.set_attempts(2));  // A further start would be one too many.
  CHECK(job.phase() == job_phase::failed);
}

TEST_CASE("A gang starts again under the next run number when the runs of all members have ended") {
  live_job job = make_job(tasks(3, true), 2);
  for (int i = 0; i < 3; ++i) {
    job.place(task(i), 1, "r", 0, now);
  }
  job.finish(task(0), 1, run_outcome::failed, "0001");
  CHECK(job.find(task(1))->phase == task_phase::placed);
  job.finish(task(1), 1, run_outcome::failed, {});
  job.finish(task(2), 1, run_outcome::broken, "0002");
  CHECK(job.phase() == job_phase::running);  // Counts as one failure of the gang, not two.
  CHECK(job.next_run(task(1)) == 2);
  CHECK(job.checkpoint_of(task(1)) == job.checkpoint_of(task(2)));
  CHECK(job.checkpoint_of(task(0)) == "0002");
}

TEST_CASE("A gang is done when one member is done") {
  live_job job = make_job(tasks(3, true));
  for (int i = 0; i < 3; ++i) {
    job.place(task(i), 1, "r", 0, now);
  }
  CHECK(job.finish(task(1), 1, run_outcome::done, {}).job_final);
}

// A job of which runners have crashed under the task so often, or the gang.
void crash(live_job& job, int times, std::int32_t members = 1, bool alone = false) {
  for (int i = 0; i < times; ++i) {
    const std::int32_t run = job.next_run(task(0));
    for (std::int32_t m = 0; m < members; ++m) {
      job.place(task(m), run, "r" + std::to_string(m), run, now);
      job.find(task(m))->alone = alone;
    }
    for (std::int32_t m = 0; m < members; ++m) {
      job.finish(task(m), run, run_outcome::crashed, {});
    }
  }
}

TEST_CASE("A task is given up after the fifth crash under it, lasting ones as well") {
  const bool lasts = GENERATE(false, true);
  step_spec step = tasks(1);
  step.long_running = lasts;
  live_job job = make_job(step);
  crash(job, 4);
  CHECK(job.phase() == job_phase::running);
  CHECK(job.find(task(0))->failures == 0);
  crash(job, 1);
  CHECK(job.phase() == job_phase::failed);
}

TEST_CASE("A task is given up after the fourth crash if it was alone, and not before") {
  live_job job = make_job(tasks(1));
  crash(job, 3, 1, true);
  CHECK(job.phase() == job_phase::running);
  crash(job, 1, 1, true);
  CHECK(job.phase() == job_phase::failed);
}

TEST_CASE("The end that gives a job up says so") {
  live_job job = make_job(tasks(1));
  crash(job, 4);
  job.place(task(0), 5, "r", 0, now);
  const end_effect effect = job.finish(task(0), 5, run_outcome::crashed, {});
  CHECK(effect.job_final);
  CHECK(effect.given_up);
}

TEST_CASE("A run of a gang counts once, however many runners crash under it") {
  live_job job = make_job(tasks(3, true));
  crash(job, 2, 3);
  CHECK(job.find(task(0))->crashes == 2);
  CHECK(job.find(task(2))->crashes == 2);
  CHECK(job.phase() == job_phase::running);
}

TEST_CASE("A run that was lost counts if its runner is found to have crashed") {
  live_job job = make_job(tasks(1));
  job.place(task(0), 1, "r", 1, now);
  job.finish(task(0), 1, run_outcome::lost, {});
  job.place(task(0), 2, "s", 1, now);
  CHECK(job.crashed_after_all(task(0), 1, false).counted);
  CHECK(job.find(task(0))->crashes == 1);
  CHECK(job.find(task(0))->phase == task_phase::placed);
  job.finish(task(0), 2, run_outcome::done, {});
  CHECK_FALSE(job.crashed_after_all(task(0), 1, false).counted);
}

TEST_CASE("A task that runs on after its crashes is acquitted; a lasting one begins anew") {
  const bool lasts = GENERATE(false, true);
  step_spec step = tasks(1);
  step.long_running = lasts;
  live_job job = make_job(step);
  crash(job, crashes_until_alone);
  job.place(task(0), 4, "r", 0, now);
  CHECK(isolation_of(*job.find(task(0))) == isolation::alone);
  job.acquit(task(0));
  CHECK(isolation_of(*job.find(task(0))) == isolation::none);
  CHECK(job.find(task(0))->crashes == (lasts ? 0 : crashes_until_alone));
  job.finish(task(0), 4, run_outcome::stopped, {});
  CHECK(isolation_of(*job.find(task(0))) == (lasts ? isolation::none : isolation::alone));
}

TEST_CASE("A crash that turns out to be none is taken back") {
  live_job job = make_job(tasks(1));
  crash(job, 2);
  CHECK(job.disprove_crash(task(0), 1));
  CHECK(job.find(task(0))->crashes == 1);
  CHECK_FALSE(job.disprove_crash(task(0), 1));
  CHECK(job.disprove_crash(task(0), 2));
  CHECK(isolation_of(*job.find(task(0))) == isolation::none);
}

TEST_CASE(
    "A successor knows of a run that may have crashed its runner, until the task starts again") {
  live_job job = make_job(tasks(1));
  job.place(task(0), 1, "r", 7, now);
  job.finish(task(0), 1, run_outcome::lost, {});
  job.find(task(0))->suspected = true;
  const auto succeed = [](const live_job& before) {
    const auto stored = decode_progress(encode(before.progress(epoch{1})));
    return live_job(before.submission(), stored, 4, now, now);
  };
  live_job next = succeed(job);
  CHECK(next.find(task(0))->suspected);
  CHECK(next.find(task(0))->runner == "r");
  CHECK(next.find(task(0))->runner_incarnation == 7);
  next.place(task(0), 2, "s", 8, now);
  next.finish(task(0), 2, run_outcome::stopped, {});
  CHECK_FALSE(succeed(next).find(task(0))->suspected);
}

TEST_CASE("A crash of a gang remains while one of the runners counts as crashed") {
  live_job job = make_job(tasks(3, true));
  crash(job, 1, 2);
  CHECK_FALSE(job.disprove_crash(task(0), 1));
  CHECK(job.find(task(2))->crashes == 1);
  CHECK(job.disprove_crash(task(1), 1));
  CHECK(job.find(task(2))->crashes == 0);
}

TEST_CASE("Crashes of runners do not use up attempts") {
  live_job job = make_job(tasks(1), 1);
  crash(job, 3);
  CHECK(job.phase() == job_phase::running);
}

TEST_CASE("Crashes are part of the progress that a successor reads") {
  live_job job = make_job(tasks(2));
  crash(job, 3);
  const auto saved = decode_progress(encode(job.progress(epoch{4})));
  REQUIRE(saved.has_value());
  live_job back(job.submission(), saved, 2, now, now);
  CHECK(back.find(task(0))->crashes == 3);
  CHECK(back.find(task(1))->crashes == 0);
}

TEST_CASE("Progress survives encoding and decoding") {
  live_job job = make_job(tasks(3));
  job.place(task(0), 1, "r0", 7, now);
  job.place(task(1), 1, "r1", 8, now);
  job.finish(task(1), 1, run_outcome::failed, "c");
  const auto saved = decode_progress(encode(job.progress(epoch{4})));
  REQUIRE(saved.has_value());
  live_job back(job.submission(), saved, 2, now, now);
  CHECK(back.find(task(0))->phase == task_phase::placed);
  CHECK(back.find(task(0))->runner == "r0");
  CHECK(back.find(task(0))->runner_incarnation == 7);
  CHECK(back.find(task(1))->failures == 1);
  CHECK(back.next_run(task(1)) == 2);
  CHECK(back.checkpoint_of(task(1)) == "c");
  CHECK(back.next_run(task(2)) == 1);
}

TEST_CASE("Occurrences open when they are due") {
  step_spec step = tasks(1);
  job_submission submission;
  submission.job = job_id("j");
  submission.spec.steps = {step};
  submission.spec.repeat_count = 3;
  submission.spec.first_run_ms = 100;
  submission.spec.interval = millis{50};
  live_job job(submission, std::nullopt, 1, now, now);
  CHECK_FALSE(job.open_due(99));
  CHECK(job.next_due_ms() == 100);
  CHECK(job.open_due(150));
  CHECK(job.occurrences().size() == 2);
  for (std::int32_t k = 0; k < 2; ++k) {
    const task_ref t{{job_id("j"), k, 0}, 0};
    job.place(t, 1, "r", 0, now);
    CHECK_FALSE(job.finish(t, 1, run_outcome::done, {}).job_final);
  }
  CHECK(job.open_due(200));
  const task_ref last{{job_id("j"), 2, 0}, 0};
  job.place(last, 1, "r", 0, now);
  CHECK(job.finish(last, 1, run_outcome::done, {}).job_final);
}

TEST_CASE("A long-running task starts again however it ends") {
  step_spec step = tasks(1);
  step.long_running = true;
  live_job job = make_job(step, 1);
  for (std::int32_t run = 1; run < 5; ++run) {
    job.place(task(0), run, "r", 0, now);
    CHECK_FALSE(job.finish(task(0), run, run % 2 == 0 ? run_outcome::done : run_outcome::failed, {})
                    .job_final);
    CHECK(job.next_run(task(0)) == run + 1);
  }
}

}  // namespace
}  // namespace monsoonmux::cell
