// The check of crash counts finds planted ones, and the entries lapse as on the platform.

#include <catch2/catch.hpp>

#include "cell/testing/outage_cell.h"

namespace monsoonmux::cell {
namespace {

const std::string job = "j";
const std::string task = "j.0.0.0";
constexpr std::int64_t planted_incarnation = 7;

// The newest record of the job's progress says so of its only task.
void plant(fake_cell& cell, job_phase phase, std::int32_t failures, std::int32_t crashes) {
  job_progress progress;
  progress.phase = phase;
  task_progress of_task;
  of_task.run = 1;
  of_task.runner = "i-0";
  of_task.runner_incarnation = planted_incarnation;
  of_task.failures = failures;
  of_task.crashes = crashes;
  occurrence_progress occurrence;
  occurrence.tasks = {of_task};
  progress.occurrences = {occurrence};
  cell.history.jobs[job] = {fake_cell::simple_job(1), pool_id("s")};
  cell.store.put(work_topic, key_of(record_kind::progress, job_id(job)), encode(progress));
}

TEST_CASE("A crash that is counted and did not happen is found") {
  fake_cell cell(1, 1, 1);
  plant(cell, job_phase::running, 0, 2);
  CHECK(crash_check(cell).broken().size() == 1);
  cell.history.crashes[task] = 1;
  CHECK(crash_check(cell).broken().size() == 1);
  cell.history.crashes[task] = 2;
  CHECK(crash_check(cell).broken().empty());
}

TEST_CASE("A crash with an end that nobody has acknowledged may be counted") {
  fake_cell cell(1, 1, 1);
  plant(cell, job_phase::running, 0, 1);
  cell.history.crashes_with_end["j.0.0.1"] = 1;
  CHECK(crash_check(cell).broken().size() == 1);
  cell.history.crashes_with_end[task] = 1;
  CHECK(crash_check(cell).broken().empty());
}

TEST_CASE("A count for a runner that was hidden may remain only once the job is over") {
  const job_phase phase = GENERATE(job_phase::running, job_phase::completed);
  fake_cell cell(1, 1, 1);
  plant(cell, phase, 0, 1);
  CHECK(crash_check(cell).broken_at_last().size() == 1);
  cell.history.hidden_incarnations.insert({"i-0", planted_incarnation + 1});
  CHECK(crash_check(cell).broken_at_last().size() == 1);
  cell.history.hidden_incarnations.insert({"i-0", planted_incarnation});
  CHECK(crash_check(cell).broken_at_last().empty() == is_final(phase));
}

TEST_CASE("A crash under another member counts for a gang, and not for others") {
  const bool gang = GENERATE(false, true);
  fake_cell cell(1, 1, 1);
  plant(cell, job_phase::running, 0, 1);
  cell.history.jobs[job].spec.steps[0].gang = gang;
  cell.history.crashes["j.0.0.1"] = 1;
  CHECK(crash_check(cell).broken().empty() == gang);
}

TEST_CASE("A job that is failed without cause is found") {
  fake_cell cell(1, 1, 1);
  plant(cell, job_phase::failed, 4, 0);
  cell.history.failures[task] = 3;
  CHECK(crash_check(cell).broken().size() == 1);
  cell.history.failures[task] = 4;
  CHECK(crash_check(cell).broken().empty());
}

TEST_CASE("A job whose runners crashed four times may be failed") {
  fake_cell cell(1, 1, 1);
  plant(cell, job_phase::failed, 0, 0);
  cell.history.crashes[task] = 3;
  CHECK(crash_check(cell).broken().size() == 1);
  cell.history.crashes[task] = 4;
  CHECK(crash_check(cell).broken().empty());
}

TEST_CASE("A wrong count of a task that is done later is found") {
  fake_cell cell(1, 1, 1);
  plant(cell, job_phase::running, 0, 1);
  cell.store.put(work_topic, key_of(record_kind::progress, job_id(job)), encode(job_progress{}));
  CHECK(crash_check(cell).broken().empty());
  CHECK(crash_check(cell).broken_at_last().size() == 1);
  cell.history.crashed_incarnations.insert({"i-0", planted_incarnation});
  CHECK(crash_check(cell).broken_at_last().empty());
}

int listed(fake_cell& cell) {
  int out = 0;
  for (const auto& [id, record] : cell.store.latest("runners")) {
    out += record.record.value.empty() ? 0 : 1;
  }
  return out;
}

TEST_CASE("Entries lapse in an outage and are back within two seconds of its end") {
  constexpr int runners = 3;
  outage_cell f(1, fake_cell::short_leases(), runners);
  f.begin_outage();
  f.cell.loop.run_for(fake_registrar::unlisted_after - millis{200});
  CHECK(listed(f.cell) == runners);
  f.cell.loop.run_for(millis{400});
  CHECK(listed(f.cell) == 0);
  f.cell.loop.run_for(outage_cell::outage - fake_registrar::unlisted_after);
  CHECK_FALSE(f.registrar.all_listed());
  f.cell.loop.run_for(fake_registrar::longest_return);
  CHECK(listed(f.cell) == runners);
  CHECK(f.registrar.all_listed());
}

TEST_CASE("A runner that is back under another id is listed under that one only") {
  outage_cell f(1, fake_cell::short_leases(), 1);
  fake_runner& runner = *f.cell.runners[0];
  runner.renamed_on_return = true;
  runner.crash_for_a_while();
  f.cell.loop.run_for(runner.crash_time + millis{100});
  CHECK(listed(f.cell) == 2);
  f.cell.loop.run_for(fake_registrar::unlisted_after);
  const auto entries = f.cell.store.latest("runners");
  CHECK(entries.at("i-0").record.value.empty());
  CHECK_FALSE(entries.at("i-0n").record.value.empty());
}

}  // namespace
}  // namespace monsoonmux::cell
