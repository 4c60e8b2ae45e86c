// Tests of complete cells on a simulated clock, each with one injected fault.

#include <catch2/catch.hpp>

#include "cell/testing/cell_checks.h"

namespace monsoonmux::cell {
namespace {

TEST_CASE("A job that is submitted at several daemons is completed once") {
  fake_cell cell(3, 4, 1);
  cell.loop.run_for(boot_time);
  for (int i = 0; i < 30; ++i) {
    cell.submit(i % 3, job_name(i), fake_cell::simple_job(3));
    cell.submit((i + 1) % 3, job_name(i), fake_cell::simple_job(3));
  }
  cell.loop.run_for(millis{15'000});
  CHECK(cell.accepted.size() == 30);
  for (int i = 0; i < 30; ++i) {
    CHECK(cell.phase(job_name(i)) == job_phase::completed);
  }
  CHECK(cell.history.starts == 90);
  check_history(cell);
}

TEST_CASE("A step starts only when the steps that it depends on are done") {
  fake_cell cell(2, 2, 2);
  cell.loop.run_for(boot_time);
  job_spec spec = fake_cell::simple_job(2);
  spec.steps.push_back(spec.steps.front());
  spec.steps[1].depends_on = {0};
  cell.submit(0, job_name(0), spec);
  cell.loop.run_for(millis{700});
  CHECK(cell.history.starts == 2);
  cell.loop.run_for(millis{3'000});
  CHECK(cell.history.starts == 4);
  CHECK(cell.phase(job_name(0)) == job_phase::completed);
}

TEST_CASE("Tasks of a runner that crashed and was unlisted start again elsewhere") {
  // Guards against polls of an unreachable runner that postpone the expiry of its lease
  // again and again.
  fake_cell cell(1, 2, 3);
  cell.loop.run_for(boot_time);
  job_spec spec = fake_cell::simple_job(4);
  spec.steps[0].long_running = true;
  for (auto& runner : cell.runners) {
    runner->task_time = millis{1'000'000};
  }
  cell.submit(0, job_name(0), spec);
  cell.loop.run_for(millis{500});
  REQUIRE(cell.history.starts == 4);
  cell.runners[0]->crash();
  cell.store.put("runners", cell.runners[0]->entry.id, "");
  cell.loop.run_for(millis{9'000});
  int running = 0;
  for (const auto& [task, count] : cell.history.running) {
    running += count;
  }
  CHECK(running == 4);
  check_history(cell);
}

TEST_CASE("A job counts as pending while its tasks are placed but not started") {
  fake_cell cell(1, 1, 4);
  cell.loop.run_for(boot_time);
  cell.runners[0]->up = false;  // Refuses connections, still listed.
  cell.submit(0, job_name(0), fake_cell::simple_job(1));
  cell.loop.run_for(millis{4'000});
  CHECK(cell.history.starts == 0);
  const auto from = cell.nodes[0]->daemon->handler().identify("h", "/q/", "");
  CHECK(cell.nodes[0]->daemon->handler().pending(from.value()).value() == 1);
}

TEST_CASE("The runs of a cancelled job stop, and none starts again") {
  fake_cell cell(2, 1, 5);
  cell.loop.run_for(boot_time);
  cell.runners[0]->task_time = millis{60'000};
  cell.submit(0, job_name(0), fake_cell::simple_job(8));
  cell.loop.run_for(millis{500});
  bool cancelled = false;
  job_handler& handler = cell.nodes[1]->daemon->handler();
  handler.cancel(handler.identify("h", "/q/", "").value(), job_id(job_name(0)),
                 cell.loop.now() + millis{1'000}, [&cancelled](const result<bool>& answer) {
                   cancelled = answer.has_value() && answer.value();
                 });
  cell.loop.run_for(millis{1'000});
  CHECK(cancelled);
  const std::int64_t starts = cell.history.starts;
  cell.loop.run_for(millis{10'000});
  CHECK(cell.history.starts == starts);
  for (const auto& [task, count] : cell.history.running) {
    CHECK(count == 0);
  }
  CHECK(cell.phase(job_name(0)) == job_phase::cancelled);
}

TEST_CASE("Another leader continues the jobs of a crashed one within three seconds") {
  fake_cell cell(3, 2, 6);
  cell.loop.run_for(boot_time);
  cell.submit(0, job_name(0), fake_cell::simple_job(2));
  cell.loop.run_for(millis{300});
  const int leader = cell.leader();
  REQUIRE(leader >= 0);
  cell.nodes[static_cast<std::size_t>(leader)]->kill();
  cell.submit((leader + 1) % 3, job_name(1), fake_cell::simple_job(2));
  const std::int64_t before = cell.history.starts;
  cell.loop.run_for(millis{3'000});
  CHECK(cell.history.starts == before + 2);
  cell.loop.run_for(millis{3'000});
  CHECK(cell.phase(job_name(0)) == job_phase::completed);
  CHECK(cell.phase(job_name(1)) == job_phase::completed);
  check_history(cell);
}

TEST_CASE("A new leader starts jobs within a second of the crash of the old one") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    fake_cell cell(3, 2, seed);
    cell.loop.run_for(boot_time);
    const int previous = cell.leader();
    REQUIRE(previous >= 0);
    cell.nodes[static_cast<std::size_t>(previous)]->kill();
    cell.submit((previous + 1) % 3, job_name(1), fake_cell::simple_job(2));
    cell.loop.run_for(millis{1'000});
    CHECK(cell.history.starts == 2);
  }
}

TEST_CASE("With many standbys, a crashed leader is succeeded with a single claim") {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    fake_cell cell(8, 2, seed);
    cell.loop.run_for(millis{6'000});
    const int previous = cell.leader();
    REQUIRE(previous >= 0);
    const std::int64_t before = cell.store.newest_claim_epoch();
    cell.nodes[static_cast<std::size_t>(previous)]->kill();
    cell.loop.run_for(millis{3'000});
    CHECK(cell.store.newest_claim_epoch() == before + 1);
  }
}

TEST_CASE("A live leader that is cut off from the log is succeeded") {
  fake_cell cell(3, 2, 11);
  cell.loop.run_for(boot_time);
  const int previous = cell.leader();
  REQUIRE(previous >= 0);
  cell.store.partitioned.insert(cell.nodes[static_cast<std::size_t>(previous)]->name);
  cell.submit((previous + 1) % 3, job_name(1), fake_cell::simple_job(2));
  cell.loop.run_for(millis{2'200});
  CHECK(cell.history.starts == 2);
  check_history(cell);
}

TEST_CASE("A leader that drains continues to work until its successor takes over") {
  fake_cell cell(3, 2, 16);
  cell.loop.run_for(boot_time);
  const int previous = cell.leader();
  REQUIRE(previous >= 0);
  cell.store.latency = millis{100};
  cell.loop.run_for(millis{1'000});
  bool resigned = false;
  cell.nodes[static_cast<std::size_t>(previous)]->daemon->drain([&resigned] { resigned = true; });
  cell.submit((previous + 1) % 3, job_name(0), fake_cell::simple_job(2));
  cell.loop.run_for(millis{700});
  CHECK(cell.history.starts == 2);
  cell.loop.run_for(millis{2'000});
  CHECK(resigned);
  const int next = cell.leader();
  CHECK(next >= 0);
  CHECK(next != previous);
  cell.nodes[static_cast<std::size_t>(previous)]->kill();
  cell.loop.run_for(millis{4'000});
  CHECK(cell.phase(job_name(0)) == job_phase::completed);
  check_history(cell);
}

TEST_CASE("When the log turns slow, the leader still writes the records of all daemons") {
  // Daemons that appended their own records would add load and slow the log down further.
  fake_cell cell(3, 4, 17);
  cell.loop.run_for(boot_time);
  const int leader = cell.leader();
  REQUIRE(leader >= 0);
  cell.store.latency = millis{240};
  cell.store.appends.clear();
  constexpr int jobs = 30;
  for (int i = 0; i < jobs; ++i) {
    cell.submit(i % 3, job_name(i), fake_cell::simple_job(1));
    cell.loop.run_for(millis{100});
  }
  cell.loop.run_for(millis{2'000});
  CHECK(cell.accepted.size() == jobs);
  for (const auto& [daemon, count] : cell.store.appends) {
    INFO(daemon << " made " << count << " appends");
    CHECK(daemon == cell.nodes[static_cast<std::size_t>(leader)]->name);
  }
}

TEST_CASE("A leader whose heartbeats are lost keeps its claim") {
  fake_cell cell(3, 2, 12);
  cell.loop.run_for(boot_time);
  const int previous = cell.leader();
  REQUIRE(previous >= 0);
  cell.isolated.insert(cell.nodes[static_cast<std::size_t>(previous)]->name);
  cell.loop.run_for(millis{20'000});
  CHECK(cell.leader() == previous);
}

TEST_CASE("Other daemons know the phase of a job before they read it in the log") {
  fake_cell cell(2, 2, 13);
  cell.loop.run_for(boot_time);
  const int leader = cell.leader();
  REQUIRE(leader >= 0);
  cell_daemon& other = *cell.nodes[static_cast<std::size_t>(1 - leader)]->daemon;
  cell.submit(leader, job_name(0), fake_cell::simple_job(1));
  cell.loop.run_for(millis{250});
  const auto early = other.handler().phase_of(job_id(job_name(0)));
  REQUIRE(early.has_value());
  CHECK(early.value().has_value());
  // The job's only task takes 800 ms. A daemon that read the phase in the log, which it
  // does every 400 ms, could still be unaware of its end; heartbeats come every 100 ms.
  cell.loop.run_for(millis{800});
  CHECK(other.handler().phase_of(job_id(job_name(0))).value() == job_phase::completed);
}

TEST_CASE("A daemon that is cut off from the log accepts jobs through the leader") {
  fake_cell cell(3, 2, 14);
  cell.loop.run_for(boot_time);
  const int leader = cell.leader();
  REQUIRE(leader >= 0);
  const int other = (leader + 1) % 3;
  cell.store.partitioned.insert(cell.nodes[static_cast<std::size_t>(other)]->name);
  cell.loop.run_for(millis{3'000});
  cell.submit(other, job_name(0), fake_cell::simple_job(2));
  cell.loop.run_for(millis{100});
  CHECK(cell.accepted.contains(job_name(0)));
  CHECK(cell.history.starts == 2);
  cell.loop.run_for(millis{1'500});
  const auto phase =
      cell.nodes[static_cast<std::size_t>(other)]->daemon->handler().phase_of(job_id(job_name(0)));
  REQUIRE(phase.has_value());
  CHECK(phase.value() == job_phase::completed);
  check_history(cell);
}

TEST_CASE("A daemon that is cut off from the log learns of a new leader") {
  fake_cell cell(3, 2, 18);
  cell.loop.run_for(millis{15'000});  // Longer than the expiry of a peer without messages.
  const int previous = cell.leader();
  REQUIRE(previous >= 0);
  const int other = (previous + 1) % 3;
  cell.store.partitioned.insert(cell.nodes[static_cast<std::size_t>(other)]->name);
  cell.nodes[static_cast<std::size_t>(previous)]->kill();
  cell.loop.run_for(millis{2'000});
  cell.submit(other, job_name(0), fake_cell::simple_job(1));
  cell.loop.run_for(millis{200});
  CHECK(cell.accepted.contains(job_name(0)));
  CHECK(cell.history.starts == 1);
}

// Boots a cell of two daemons and cuts the one that does not lead off from the log. The
// queue requires a key, and the old key is valid.
fake_cell::node& cut_off_with_old_key(fake_cell& cell) {
  cell.config.queues[0].open = false;
  cell.config.teams.push_back({team_id("t"), {"old key"}, 1, {}});
  cell.loop.run_for(boot_time);
  const int leader = cell.leader();
  REQUIRE(leader >= 0);
  fake_cell::node& other = *cell.nodes[static_cast<std::size_t>(1 - leader)];
  cell.store.partitioned.insert(other.name);
  return other;
}

void revoke_old_key(fake_cell& cell) {
  cell.config.version = config_version{2};
  cell.config.teams[0].keys = {"new key"};
  cell.store.put("op", "config", "2");
}

TEST_CASE("The leader authorizes callers of a cut-off daemon again by a newer configuration") {
  fake_cell cell(2, 2, 15);
  fake_cell::node& other = cut_off_with_old_key(cell);
  revoke_old_key(cell);
  cell.loop.run_for(millis{1'000});
  const auto from = other.daemon->handler().identify("h", "/q/" + job_name(0), "old key");
  REQUIRE(from.has_value());
  std::optional<failure> refusal;
  other.daemon->handler().submit(from.value(), job_id(job_name(0)), fake_cell::simple_job(1),
                                 cell.loop.now() + millis{1'000}, [&](const result<void>& answer) {
                                   if (answer.has_error()) {
                                     refusal = answer.error();
                                   }
                                 });
  cell.loop.run_for(millis{1'000});
  REQUIRE(refusal.has_value());
  CHECK(refusal->code == error_code::unauthorized);
  CHECK(refusal->effect == verdict::not_run);
  CHECK(cell.history.starts == 0);
}

TEST_CASE("A newer configuration does not refuse a job whose append is in flight") {
  fake_cell cell(2, 2, 15);
  fake_cell::node& other = cut_off_with_old_key(cell);
  cell.store.latency = millis{150};
  std::optional<result<void>> answered;
  const auto from = other.daemon->handler().identify("h", "/q/" + job_name(0), "old key");
  REQUIRE(from.has_value());
  other.daemon->handler().submit(from.value(), job_id(job_name(0)), fake_cell::simple_job(1),
                                 cell.loop.now() + millis{2'000},
                                 [&answered](const result<void>& answer) { answered = answer; });
  revoke_old_key(cell);
  cell.loop.run_for(millis{3'000});
  REQUIRE(answered);
  CHECK(answered->has_value());
  CHECK(cell.history.starts == 1);
  // Another request for the same job after the key was revoked.
  answered.reset();
  other.daemon->handler().submit(from.value(), job_id(job_name(0)), fake_cell::simple_job(1),
                                 cell.loop.now() + millis{2'000},
                                 [&answered](const result<void>& answer) { answered = answer; });
  cell.loop.run_for(millis{1'000});
  REQUIRE(answered);
  REQUIRE(answered->has_error());
  CHECK(answered->error().code == error_code::unauthorized);
}

TEST_CASE("A new leader does not learn short run times from inherited runs") {
  // The new leader observes only the last half second of the first job's tasks. If it
  // learned that as their run time, the second job's runs would soon count as stalled, and
  // their runner would be quarantined.
  fake_cell cell(3, 1, 9);
  cell.runners[0]->entry.capacity = {millicores{16'000}, mebibytes{16'000}, devices{0}};
  cell.loop.run_for(boot_time);
  cell.runners[0]->task_time = millis{4'000};
  cell.submit(0, job_name(0), fake_cell::simple_job(6));
  cell.loop.run_for(millis{2'000});
  const int previous = cell.leader();
  REQUIRE(previous >= 0);
  cell.nodes[static_cast<std::size_t>(previous)]->kill();
  cell.loop.run_for(millis{3'000});
  REQUIRE(cell.phase(job_name(0)) == job_phase::completed);
  cell.submit((previous + 1) % 3, job_name(1), fake_cell::simple_job(4));
  cell.loop.run_for(millis{3'000});
  const std::int64_t before = cell.history.starts;
  cell.submit((previous + 1) % 3, job_name(2), fake_cell::simple_job(2));
  cell.loop.run_for(millis{300});
  CHECK(cell.history.starts == before + 2);
}

TEST_CASE("A new leader restores the run-time estimates of the previous one") {
  fake_cell cell(3, 2, 10);
  cell.loop.run_for(boot_time);
  for (auto& runner : cell.runners) {
    runner->task_time = millis{2'000};
  }
  cell.submit(0, job_name(0), fake_cell::simple_job(8));
  cell.loop.run_for(millis{4'000});
  REQUIRE(cell.phase(job_name(0)) == job_phase::completed);
  const int previous = cell.leader();
  REQUIRE(previous >= 0);
  cell.nodes[static_cast<std::size_t>(previous)]->kill();
  cell.loop.run_for(millis{3'000});
  const int next = cell.leader();
  REQUIRE(next >= 0);
  const run_time_estimator* const times =
      cell.nodes[static_cast<std::size_t>(next)]->daemon->run_times();
  REQUIRE(times != nullptr);
  CHECK(times->learned(queue_id("q")));
  CHECK(times->expected(queue_id("q"), millis{1}).value > 1'900);
}

TEST_CASE("Jobs that are refused while the log is unavailable do not run later") {
  fake_cell cell(2, 2, 7);
  cell.loop.run_for(boot_time);
  cell.store.down = true;
  for (int i = 0; i < 10; ++i) {
    cell.submit(i % 2, job_name(i), fake_cell::simple_job(1));
  }
  cell.loop.run_for(millis{4'000});
  cell.store.down = false;
  cell.loop.run_for(millis{8'000});
  for (const std::string& id : cell.refused) {
    CHECK_FALSE(cell.phase(id).has_value());
  }
  check_history(cell);
}

TEST_CASE("No tasks are placed while the log accepts no records") {
  // Tasks that were placed during an outage could not start in time and would have to be
  // withdrawn.
  fake_cell cell(1, 2, 8);
  cell.loop.run_for(boot_time);
  cell.runners[1]->task_time = millis{2'000};
  cell.submit(0, job_name(0), fake_cell::simple_job(16));
  cell.loop.run_for(millis{500});
  REQUIRE(cell.history.starts == 8);
  cell.store.down = true;
  // The first runner's tasks end after 0.8 s. Their ends wait for the log, which does not
  // count as unavailable yet, so four more tasks are placed. The second runner's tasks end
  // after 2 s, when the log counts as unavailable, so the last four tasks keep waiting.
  cell.loop.run_for(millis{3'000});
  CHECK(cell.nodes[0]->metrics.text().find("monsoonmux_waiting_tasks 4\n") != std::string::npos);
  cell.store.down = false;
  cell.loop.run_for(millis{12'000});
  CHECK(cell.phase(job_name(0)) == job_phase::completed);
  check_history(cell);
}

TEST_CASE("A later run is stopped once an earlier run that was given up is listed as done") {
  fake_cell cell(3, 2, 31);
  cell.loop.run_for(boot_time);
  cell.submit(0, job_name(0), fake_cell::simple_job(1));
  cell.loop.run_for(millis{300});
  REQUIRE(cell.history.starts == 1);
  for (auto& runner : cell.runners) {
    runner->partitioned = {"d0", "d1", "d2"};
    runner->task_time = millis{60'000};
  }
  cell.loop.run_for(millis{1'500});
  const std::size_t first = cell.runners[0]->has_ends() ? 0 : 1;
  cell.runners[1 - first]->partitioned.clear();
  cell.loop.run_for(millis{12'000});
  const std::string task = job_name(0) + ".0.0.0";
  REQUIRE(cell.history.starts == 2);
  REQUIRE(cell.history.running[task] == 1);
  cell.runners[first]->partitioned.clear();
  cell.loop.run_for(millis{3'000});
  CHECK(cell.phase(job_name(0)) == job_phase::completed);
  CHECK(cell.history.running[task] == 0);
  check_history(cell);
}

}  // namespace
}  // namespace monsoonmux::cell
