// Tasks that crash their runners while the store is out and all entries lapse. Guards against
// BUDGET: such an outage must not hide the crashes from the count. Issue 38.

#include <catch2/catch.hpp>

#include "cell/testing/outage_cell.h"

namespace monsoonmux::cell {
namespace {

constexpr std::uint32_t seeds = 6;
constexpr int runner_count = 9;
constexpr millis longest_play{120'000};

enum class runner_return { same_id, other_id, never };

void set_return(outage_cell& f, runner_return how) {
  for (auto& runner : f.cell.runners) {
    runner->renamed_on_return = how == runner_return::other_id;
    if (how == runner_return::never) {
      runner->crash_time = longest_play * 2;
    }
  }
}

// Runs until so many runners have crashed under the task, and up to 3 s more.
void run_until_crashes(outage_cell& f, const std::string& task, int crashes) {
  constexpr millis step{10};
  constexpr std::int64_t latest_ms = 3'000;
  const instant until = f.cell.loop.now() + longest_play;
  while (f.cell.history.crashes[task] < crashes && f.cell.loop.now() < until) {
    f.cell.loop.run_for(step);
  }
  f.cell.loop.run_for(millis{static_cast<std::int64_t>(f.cell.random() % latest_ms)});
}

void play_deadly_outage(outage_cell& f, std::uint32_t seed, runner_return how, bool takeover) {
  constexpr int latest_outage = 3;  // After so many crashes.
  set_return(f, how);
  f.cell.history.deadly.insert(job_name(0) + ".");
  f.submit(job_name(0), fake_cell::simple_job(1));
  f.submit(job_name(1), outage_cell::lasting_job(4));
  const auto crashes = static_cast<int>(seed % (latest_outage + 1));
  run_until_crashes(f, job_name(0) + ".0.0.0", crashes);
  f.begin_some_outage();
  if (takeover) {
    f.kill_leader_after(outage_cell::leader_lost_after);
  }
  f.run_until_over({job_name(0)}, longest_play);
  CHECK(f.cell.phase(job_name(0)) == job_phase::failed);
  CHECK(f.cell.phase(job_name(1)) == job_phase::running);
  f.check_calm();
}

void play_deadly_outages(runner_return how, bool takeover) {
  play_outages(seeds, runner_count, [how, takeover](outage_cell& f, std::uint32_t seed) {
    play_deadly_outage(f, seed, how, takeover);
  });
}

TEST_CASE("An outage does not hide the crashes of runners that are back under their ids") {
  play_deadly_outages(runner_return::same_id, false);
}

TEST_CASE("An outage and a takeover do not hide the crashes of runners that are back") {
  play_deadly_outages(runner_return::same_id, true);
}

TEST_CASE("An outage does not hide the crashes of runners that are back under other ids") {
  play_deadly_outages(runner_return::other_id, false);
}

TEST_CASE("An outage and a takeover do not hide the crashes of runners with other ids") {
  play_deadly_outages(runner_return::other_id, true);
}

TEST_CASE("An outage does not hide the crashes of runners that are never back") {
  play_deadly_outages(runner_return::never, false);
}

TEST_CASE("An outage and a takeover do not hide the crashes of runners that are never back") {
  play_deadly_outages(runner_return::never, true);
}

}  // namespace
}  // namespace monsoonmux::cell
