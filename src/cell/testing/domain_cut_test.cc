// Failure domains that are cut off from the leader and the store while their runners run on.
// Guards against LOST (issue 45): their runs were counted as crashes, until innocent tasks were
// isolated and their jobs were shown as failed.

#include <catch2/catch.hpp>

#include "cell/testing/outage_cell.h"

namespace monsoonmux::cell {
namespace {

constexpr std::uint32_t seeds = 4;
constexpr int domain_count = 3;
constexpr int runner_count = 12;
constexpr int tasks = 12;
constexpr millis task_time{4'000};
constexpr millis longest_play{300'000};
constexpr millis shortest_cut{6'000};
constexpr std::int64_t cut_span_ms = 6'000;  // From the shortest cut to the longest one.
constexpr millis between_cuts{6'000};
const std::string job = "watched";

void play_cuts(const std::function<void(outage_cell&)>& play) {
  play_outages(
      seeds, runner_count, [&play](outage_cell& f, std::uint32_t) { play(f); }, domain_count);
}

// A failure domain without the leader in which the job has runs.
domain_id domain_to_cut(outage_cell& f) {
  const domain_id& led_from = f.cell.nodes.at(static_cast<std::size_t>(f.cell.leader()))->domain;
  std::vector<domain_id> busy;
  for (const auto& runner : f.cell.runners) {
    const auto& on = f.cell.history.on_runner[runner->entry.id];
    const bool has_runs = std::any_of(
        on.begin(), on.end(), [](const std::string& task) { return task.starts_with(job + "."); });
    if (has_runs && runner->entry.domain != led_from) {
      busy.push_back(runner->entry.domain);
    }
  }
  return busy.empty() ? f.cell.domain_of(0) : busy[f.cell.random() % busy.size()];
}
millis cut_time(outage_cell& f) {
  return shortest_cut + millis{static_cast<std::int64_t>(f.cell.random() % cut_span_ms)};
}

void start_job(outage_cell& f, const job_spec& spec) {
  for (auto& runner : f.cell.runners) {
    runner->task_time = task_time;
  }
  f.submit(job, spec);
  f.pass_with_load(millis{4'000});
  REQUIRE(f.cell.history.running_of(job) == spec.steps[0].count);
}

// `takeover`: the leader is lost at the end of the cut, after it has given up the runs.
void play_cut(outage_cell& f, bool takeover) {
  REQUIRE(f.cell.leader() >= 0);
  const millis cut = cut_time(f);
  f.cut_off(domain_to_cut(f));
  f.pass_with_load(cut);
  if (takeover) {
    f.kill_leader();
  }
  f.end_cut();
  f.pass_with_load(between_cuts);
}

void check_innocent(outage_cell& f) {
  f.check_calm();
  CHECK(f.counted() == 0);
  CHECK(f.cell.phase(job) == job_phase::running);
}

// Each task takes so long that no run of it ends in the play.
job_spec long_job() {
  job_spec spec = fake_cell::simple_job(tasks);
  spec.steps[0].estimate = longest_play;
  return spec;
}

// Runs of the job last until the end of the play; the load's do not.
void start_long_job(outage_cell& f) {
  for (auto& runner : f.cell.runners) {
    runner->task_time = longest_play;
  }
  f.submit(job, long_job());
  f.cell.loop.run_for(millis{4'000});
  REQUIRE(f.cell.history.running_of(job) == tasks);
}

TEST_CASE("Cuts around a failure domain count no crashes under lasting tasks") {
  constexpr int cuts = 4;
  play_cuts([](outage_cell& f) {
    start_job(f, outage_cell::lasting_job(tasks));
    for (int i = 0; i < cuts; ++i) {
      play_cut(f, false);
    }
    check_innocent(f);
  });
}

TEST_CASE("Cuts around a failure domain leave no counts although the leader is lost") {
  constexpr int cuts = 4;
  play_cuts([](outage_cell& f) {
    start_job(f, outage_cell::lasting_job(tasks));
    for (int i = 0; i < cuts; ++i) {
      play_cut(f, true);
    }
    check_innocent(f);
  });
}

TEST_CASE("No job is given up because failure domains are cut off and the leader is lost") {
  constexpr int cuts = 10;
  play_cuts([](outage_cell& f) {
    start_long_job(f);
    for (int i = 0; i < cuts; ++i) {
      f.cut_off(domain_to_cut(f));
      f.cell.loop.run_for(cut_time(f));
      f.kill_leader();
      f.end_cut();
      f.cell.loop.run_for(between_cuts);
    }
    check_innocent(f);
  });
}

// The runners of the domain are back under their ids, so the crashes are proven in the end.
TEST_CASE("A cut around a failure domain does not hide a task that crashes its runners") {
  constexpr millis until_cut{4'000};
  play_cuts([](outage_cell& f) {
    f.cell.history.deadly.insert(job + ".");
    f.submit(job, fake_cell::simple_job(1));
    f.cell.loop.run_for(until_cut +
                        millis{static_cast<std::int64_t>(f.cell.random() %
                                                         static_cast<std::uint32_t>(cut_span_ms))});
    f.cut_off(domain_to_cut(f));
    f.pass_with_load(cut_time(f));
    f.end_cut();
    f.run_until_over({job}, longest_play);
    CHECK(f.cell.phase(job) == job_phase::failed);
    f.check_calm();
  });
}

TEST_CASE("The loss of a failure domain does not hide a task that crashes its runners for good") {
  constexpr millis until_loss{8'000};
  play_cuts([](outage_cell& f) {
    for (auto& runner : f.cell.runners) {
      runner->crash_time = longest_play * 2;
    }
    f.cell.history.deadly.insert(job + ".");
    f.submit(job, fake_cell::simple_job(1));
    f.cell.loop.run_for(until_loss);
    const domain_id lost = domain_to_cut(f);
    for (auto& runner : f.cell.runners) {
      if (runner->entry.domain == lost) {
        runner->crash_for_a_while();
      }
    }
    f.run_until_over({job}, longest_play);
    CHECK(f.cell.phase(job) == job_phase::failed);
    f.check_calm();
  });
}

}  // namespace
}  // namespace monsoonmux::cell
