#include "cell/runner_session.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "cell/testing/session_fixture.h"

namespace monsoonmux::cell {
namespace {

TEST_CASE("A runner whose address leads nowhere is not polled at once for ever") {
  for (const command_status status : {command_status::not_sent, command_status::unknown,
                                      command_status::other_instance, command_status::refused}) {
    session_fixture f;
    f.commands.polls.clear();
    constexpr millis step{10};
    constexpr millis minute{60'000};
    for (millis passed{0}; passed < minute; passed += step) {
      if (!f.commands.answers.empty()) {
        const auto answer = std::move(f.commands.answers.back());
        f.commands.answers.clear();
        answer({status, {}});
      }
      f.list(first_incarnation, passed.value);  // Its entry comes again and again.
      f.loop.run_for(step);
      f.session.tick();
    }
    INFO(to_string(status));
    CHECK(f.commands.polls.size() <= 62);
  }
}

TEST_CASE("An end is acknowledged only when it and all ends before it are stored") {
  session_fixture f;
  f.report({end_of(4), end_of(5), end_of(6)});
  // End 6 is stored first: its job was settled before, so nothing had to be written.
  f.session.end_stored(6);
  CHECK(f.acked() < 4);
  f.loop.run_for(millis{2'000});
  f.session.tick();
  f.report({end_of(4), end_of(5), end_of(6)});
  f.session.end_stored(4);
  CHECK(f.acked() == 4);
  f.report({end_of(5), end_of(6), end_of(9)});
  f.session.end_stored(5);
  CHECK(f.acked() >= 6);
  CHECK(f.acked() < 9);
}

TEST_CASE("Ends of a restarted runner are acknowledged from the beginning") {
  session_fixture f;
  f.report({end_of(4), end_of(5)});
  f.session.end_stored(5);
  (void)f.acked();
  f.restart_runner();
  f.loop.run_for(millis{2'000});
  f.session.tick();
  f.report({end_of(1)});
  f.session.end_stored(4);  // Reported by the previous incarnation.
  CHECK(f.acked() == 0);
  f.loop.run_for(millis{2'000});
  f.session.tick();
  f.report({end_of(1)});
  f.session.end_stored(1);
  CHECK(f.acked() == 1);
}

TEST_CASE(
    "No end is acknowledged before the starts to the runner are known to be at its incarnation") {
  session_fixture f;
  f.report({end_of(1)});
  f.start("job.0.0.5");
  f.session.end_stored(1);
  CHECK(f.acked() == 0);
  f.commands.start_answers.back()({command_status::done, f.clock()});
  CHECK(f.acked() == 1);
}

TEST_CASE("No end is acknowledged to an incarnation that executed a start unknown to the leader") {
  session_fixture f;
  f.report({end_of(1)});
  f.start("job.0.0.5");
  f.restart_runner();
  f.loop.run_for(millis{20});
  f.listed = {{1, "job.0.0.5", 1, run_outcome::done, ""}};
  f.commands.start_answers.back()({command_status::done, f.clock()});
  f.session.end_stored(1);
  for (const poll_request& poll : f.commands.polls) {
    CHECK(poll.acked_up_to == 0);
  }
  f.loop.run_for(f.options.retry);
  f.session.tick();
  f.commands.report(f.idle_state());
  CHECK(f.acked() == 0);
  f.session.end_stored(1);
  CHECK(f.acked() == 1);
}

TEST_CASE("An acknowledgement that comes after a later start is refused") {
  const bool in_flight = GENERATE(false, true);
  session_fixture f;
  f.report({end_of(1)});
  f.session.end_stored(1);
  REQUIRE(f.last_poll().acked_up_to == 1);
  const fencing_token acknowledged_with = f.last_poll().target.token;
  if (!in_flight) {
    f.commands.answers.back()({command_status::unknown, {}});
    f.loop.run_for(f.options.retry);
    f.session.tick();
    f.report({end_of(1)});
  }
  f.start("job.0.0.5");
  CHECK(acknowledged_with < f.commands.starts.back().target.token);
}

TEST_CASE("A start after an acknowledgement that was answered keeps its token") {
  session_fixture f;
  f.report({end_of(1)});
  f.session.end_stored(1);
  const fencing_token acknowledged_with = f.last_poll().target.token;
  f.report({});
  f.start("job.0.0.5");
  CHECK(f.commands.starts.back().target.token.value == acknowledged_with.value);
}

TEST_CASE("Ends are acknowledged although the end of an inherited run lies beyond those listed") {
  constexpr std::int64_t ends_per_report = 500;
  session_fixture f;
  for (std::int64_t number = 1; number <= ends_per_report; ++number) {
    const std::string task = "other.0.0." + std::to_string(number);
    f.listed.push_back({number, task, 1, run_outcome::done, ""});
  }
  f.commands.report(f.idle_state());
  for (std::int64_t number = 1; number <= ends_per_report; ++number) {
    f.session.end_stored(number);
  }
  CHECK(f.last_poll().acked_up_to == ends_per_report);
}

TEST_CASE(
    "A runner whose lease has not lapsed although its run was given up for that gets no lease") {
  session_fixture f;
  f.report({});
  f.report({});  // Of the poll with a lease; the one that waits has none.
  std::int64_t granted_until = 0;
  for (const poll_request& poll : f.commands.polls) {
    granted_until = std::max(granted_until, poll.lease_until_ms.value_or(0));
  }
  REQUIRE(granted_until > 0);
  constexpr millis longer_than_lease{9'000};
  f.silence(longer_than_lease);
  REQUIRE(f.leader.lost.size() == 1);
  const auto answer_at = [&f](std::int64_t clock_ms) {
    constexpr int most_ticks = 10;
    for (int i = 0; i < most_ticks && f.commands.answers.empty(); ++i) {
      f.loop.run_for(f.options.retry);
      f.session.tick();
    }
    REQUIRE_FALSE(f.commands.answers.empty());
    const std::vector<finished_run> ends{{1, long_task, 1, run_outcome::done, ""}};
    f.commands.report({first_incarnation, clock_ms, {}, ends});
  };
  answer_at(granted_until - 1'000);
  f.session.end_stored(1);
  constexpr int rounds = 5;
  for (int i = 0; i < rounds; ++i) {
    answer_at(granted_until - 500);
    CHECK(f.last_poll().acked_up_to == 0);
    CHECK_FALSE(f.last_poll().lease_until_ms.has_value());
  }
  CHECK_FALSE(f.leader.admitted);
  answer_at(granted_until);
  CHECK(f.leader.admitted);
}

TEST_CASE("An answer of the former incarnation after a proof that shows the next admits nothing") {
  session_fixture f;
  f.report({});
  f.loop.run_for(millis{300});
  const std::size_t under_way = f.commands.answers.size();
  f.start("job.0.0.5");
  REQUIRE(f.commands.answers.size() == under_way + 1);
  const poll_report former = f.state();
  f.restart_runner();
  f.commands.report(f.idle_state());
  REQUIRE_FALSE(f.leader.admitted);
  f.commands.report(former);
  CHECK_FALSE(f.leader.admitted);
}

TEST_CASE("No end is acknowledged after a start without an answer whose run was given up before") {
  session_fixture f;
  f.report({});
  f.start("job.0.0.5");
  f.session.stop({*parse_task_ref("job.0.0.5"), 1});
  f.loop.run_for(millis{1});
  f.commands.stop_answers.back()({command_status::done, f.clock()});
  f.loop.run_for(millis{1});
  for (int i = 0; i < 3 && f.leader.lost.empty(); ++i) {
    f.report({});
    f.loop.run_for(millis{1});
  }
  REQUIRE(f.leader.lost.size() == 1);
  f.commands.start_answers.back()({command_status::unknown, {}});
  f.report({end_of(1)});
  f.session.end_stored(1);
  CHECK(f.acked() == 0);
}

TEST_CASE("A poll that acknowledges ends does not wait for others at a restarted runner") {
  session_fixture f;
  f.report({end_of(1), end_of(2)});
  f.loop.run_for(millis{15});
  f.session.end_stored(1);
  f.session.end_stored(2);
  REQUIRE(f.last_poll().acked_up_to == 2);
  CHECK(f.last_poll().wait == millis{0});
}

TEST_CASE("An end costs two polls, one that acknowledges it and one that waits for the next") {
  session_fixture f;
  f.report({});
  const std::size_t before = f.commands.polls.size();
  for (std::int64_t number = 1; number <= 5; ++number) {
    f.loop.run_for(millis{900});
    f.report({end_of(number)});
    f.loop.run_for(millis{15});
    f.session.end_stored(number);
    CHECK(f.last_poll().acked_up_to == number);
    CHECK(f.last_poll().wait == millis{0});
    constexpr millis way{2};
    f.loop.run_for(way);
    f.report({});
    CHECK(f.last_poll().acked_up_to == 0);
    CHECK(f.last_poll().wait == session_options{}.poll_wait - way);  // Since the renewal.
  }
  CHECK(f.commands.polls.size() == before + 10);
}

TEST_CASE("After a gap, an end costs no further poll") {
  session_fixture f;
  f.report({end_of(1)});
  f.loop.run_for(millis{1'200});
  const std::size_t before = f.commands.polls.size();
  f.session.end_stored(1);
  CHECK(f.last_poll().acked_up_to == 1);
  CHECK(f.last_poll().wait == millis{0});
  CHECK(f.commands.polls.size() == before + 1);
}

TEST_CASE("Ends are acknowledged over a slow link too, and polls do not follow at once") {
  session_fixture f;
  f.report({end_of(1)});
  f.loop.run_for(millis{2'000});
  f.session.end_stored(1);
  CHECK(f.last_poll().acked_up_to == 1);
  CHECK(f.last_poll().wait == millis{0});
  constexpr millis way{400};
  f.loop.run_for(way);
  f.report({});
  CHECK(f.last_poll().acked_up_to == 0);

  f.loop.run_for(millis{2'000});
  f.report({end_of(2)});
  f.loop.run_for(millis{2'000});
  const std::size_t before = f.commands.polls.size();
  f.session.end_stored(2);
  const poll_report slow = f.state();
  f.loop.run_for(millis{900});
  f.commands.report(slow);
  CHECK(f.commands.polls.size() <= before + 2);
}

TEST_CASE("An acknowledgement is not repeated once the runner has answered it") {
  session_fixture f;
  f.report({end_of(1)});
  f.session.end_stored(1);
  CHECK(f.last_poll().acked_up_to == 1);
  f.loop.run_for(millis{2'000});
  f.report({});
  CHECK(f.last_poll().acked_up_to == 0);
  CHECK(f.last_poll().lease_until_ms.has_value());
  f.report({});
  CHECK(f.last_poll().acked_up_to == 0);
  CHECK(f.last_poll().wait == session_options{}.poll_wait);
}

TEST_CASE("A start proves the incarnation of a runner that was idle") {
  session_fixture f;
  f.report({end_of(1), end_of(2)});
  f.session.end_stored(1);
  f.loop.run_for(millis{5'000});
  f.start("job.0.0.5");
  f.commands.report(f.state());
  f.loop.run_for(millis{2});
  f.commands.start_answers.back()({command_status::done, f.clock()});
  CHECK(f.last_poll().acked_up_to == 1);
}

TEST_CASE("Starts do not keep the leases of a runner alive that answers nothing") {
  session_fixture f;
  f.report({});
  constexpr millis longest_gap{9'000};
  const instant lost_at = f.loop.now();
  f.loop.run_for(millis{2'650});  // The poll is still waiting.
  f.start("job.0.0.5");
  while (f.leader.lost.empty()) {
    f.silence(millis{50});
  }
  CHECK((f.loop.now() - lost_at).value <= longest_gap.value);
}

TEST_CASE("A start without a lease is given up soon") {
  session_fixture f;
  f.report({});
  f.leader.lease_limit = f.loop.now();
  f.start("job.0.0.5");
  constexpr millis soon{1'000};
  constexpr millis step{50};
  for (millis passed{0}; passed < soon; passed += step) {
    f.loop.run_for(step);
    f.session.tick();
  }
  CHECK(f.commands.starts.empty());
  CHECK(f.leader.lost == std::vector<std::string>{"no_lease"});
}

TEST_CASE("Starts on an idle runner wait for one poll, which renews no lease") {
  session_fixture f;
  f.end_all_runs();
  f.loop.run_for(millis{30'000});
  const std::size_t before = f.commands.polls.size();
  f.start("job.0.0.5");
  f.start("job.0.0.6");
  CHECK(f.commands.starts.empty());
  REQUIRE(f.commands.polls.size() == before + 1);
  CHECK(f.last_poll().wait == millis{0});
  CHECK_FALSE(f.last_poll().lease_until_ms);
  f.loop.run_for(millis{2});
  f.commands.report(f.idle_state());
  CHECK(f.commands.starts.size() == 2);
  f.start("job.0.0.7");
  CHECK(f.commands.starts.size() == 3);
}

// Guards against LIMIT: a start was repeated on a runner whose capacity had shrunk meanwhile.
TEST_CASE("A start without an answer is not repeated once the runner has no room for it") {
  session_fixture f;
  f.end_all_runs();
  f.loop.run_for(millis{30'000});
  f.start("job.0.0.5");
  f.loop.run_for(millis{2});
  f.commands.report(f.idle_state());
  REQUIRE(f.commands.starts.size() == 1);
  f.leader.room = false;
  f.commands.start_answers.back()({command_status::unknown, std::nullopt});
  f.loop.run_for(f.options.retry);
  f.session.tick();
  if (!f.commands.answers.empty()) {
    f.commands.report(f.idle_state());  // The answer that a repeat may wait for.
  }
  CHECK(f.commands.starts.size() == 1);
  // It may have been executed, so it has to be closed.
  REQUIRE(f.commands.stops.size() == 1);
  CHECK(f.commands.stops.back().task == "job.0.0.5");
}

TEST_CASE("A run whose first start got no answer is not lost by the refusal of a repeat") {
  for (const command_status refusal :
       {command_status::lease_expired, command_status::no_capacity, command_status::no_ticket,
        command_status::refused, command_status::other_instance, command_status::not_sent}) {
    INFO(to_string(refusal));
    session_fixture f;
    f.report({});
    f.start("job.0.0.1");
    f.commands.start_answers.back()({command_status::unknown, std::nullopt});
    for (int repeat = 1; repeat < f.options.max_start_attempts; ++repeat) {
      f.commands.start_answers.clear();
      f.loop.run_for(f.options.retry);
      f.session.tick();
      if (f.commands.start_answers.empty() && !f.commands.answers.empty()) {
        f.commands.report(f.state());  // The proof that a repeat may wait for.
      }
      if (!f.commands.start_answers.empty()) {
        f.commands.start_answers.back()({refusal, std::nullopt});
      }
    }
    CHECK(f.commands.starts.size() > 1);
    CHECK(f.leader.lost.empty());
    REQUIRE(f.commands.stops.size() == 1);
    CHECK(f.commands.stops.back().task == "job.0.0.1");
  }
}

TEST_CASE("A run that its runner lists is not stopped because a repeat of its start is refused") {
  for (const command_status refusal :
       {command_status::lease_expired, command_status::no_capacity, command_status::no_ticket,
        command_status::refused, command_status::not_sent}) {
    INFO(to_string(refusal));
    session_fixture f;
    f.report({});
    f.start("job.0.0.1");
    poll_report with_run = f.state();
    with_run.running.push_back({"job.0.0.1", 1, "", 100});
    for (int attempt = 1; attempt < f.options.max_start_attempts; ++attempt) {
      f.commands.start_answers.back()({command_status::unknown, std::nullopt});
      f.loop.run_for(f.options.retry);
      f.commands.report(f.state());  // Of the proof, which the repeat waits for.
      f.session.tick();
    }
    REQUIRE(f.commands.starts.size() == static_cast<std::size_t>(f.options.max_start_attempts));
    while (!f.commands.answers.empty()) {
      with_run.clock_ms = f.clock();
      f.commands.report(with_run);
      if (f.session.known_to_run({*parse_task_ref("job.0.0.1"), 1}) > millis{0}) {
        break;
      }
      f.loop.run_for(millis{50});
      f.session.tick();
    }
    f.commands.start_answers.back()({refusal, std::nullopt});
    f.loop.run_for(f.options.retry);
    f.session.tick();
    CHECK(f.commands.stops.empty());
    CHECK(f.leader.lost.empty());
  }
}

TEST_CASE("A start is not sent to a runner that has restarted while it was idle") {
  session_fixture f;
  f.end_all_runs();
  f.loop.run_for(millis{30'000});
  f.restart_runner();
  f.loop.run_for(millis{300});
  f.start("job.0.0.5");
  f.commands.report(f.idle_state());
  CHECK(f.commands.starts.empty());
  CHECK(f.leader.lost == std::vector<std::string>{"runner_restarted"});
  CHECK_FALSE(f.leader.admitted);
  f.commands.report(f.idle_state());
  f.list(next_incarnation, f.clock());
  f.loop.run_for(f.options.retry);
  f.session.tick();
  if (!f.commands.answers.empty()) {
    f.commands.report(f.idle_state());
  }
  CHECK(f.leader.admitted);
}

TEST_CASE("A start whose runner answers no poll is given up without having been sent") {
  session_fixture f;
  f.end_all_runs();
  f.loop.run_for(millis{30'000});
  f.start("job.0.0.5");
  f.silence(millis{1'000});
  CHECK(f.commands.starts.empty());
  CHECK(f.leader.lost.size() == 1);
}

TEST_CASE("A start beside a poll that still waits is sent after a poll of its own") {
  session_fixture f;
  f.report({});
  f.loop.run_for(millis{1'000});
  const std::size_t before = f.commands.polls.size();
  f.start("job.0.0.5");
  CHECK(f.commands.starts.empty());
  REQUIRE(f.commands.polls.size() == before + 1);
  f.loop.run_for(millis{2});
  f.commands.report(f.state());
  CHECK(f.commands.starts.size() == 1);
}

TEST_CASE("Over a slow link starts are sent and leases renewed") {
  session_fixture f;
  f.end_all_runs();
  f.loop.run_for(millis{30'000});
  f.start("job.0.0.5");
  const poll_report slow = f.idle_state();
  f.loop.run_for(millis{650});
  f.commands.report(slow);
  REQUIRE(f.commands.starts.size() == 1);
  f.commands.start_answers.back()({command_status::done, f.clock()});
  constexpr int rounds = 8;
  int renewed = 0;
  constexpr int longest_pause_ms = 300;
  for (int i = 0; i < rounds; ++i) {
    for (int ms = 0; ms < longest_pause_ms && f.commands.answers.empty(); ms += 50) {
      f.loop.run_for(millis{50});
      f.session.tick();
    }
    REQUIRE(!f.commands.answers.empty());
    renewed += f.last_poll().lease_until_ms ? 1 : 0;
    f.loop.run_for(f.last_poll().wait);
    poll_report report = f.idle_state();
    report.running = {{"job.0.0.5", 1, "", 100}};
    f.loop.run_for(millis{650});
    f.commands.report(report);
  }
  CHECK(renewed >= rounds / 2);
}

TEST_CASE("Leases are renewed in time while ends are not stored") {
  session_fixture f;
  f.report({end_of(1)});
  constexpr millis step{50};
  constexpr millis outage{6'000};
  instant renewed = f.loop.now();
  for (millis passed{0}; passed < outage; passed += step) {
    f.loop.run_for(step);
    f.session.tick();
    while (!f.commands.answers.empty()) {
      renewed = f.last_poll().lease_until_ms ? f.loop.now() : renewed;
      f.report({end_of(1)});
    }
    CHECK((f.loop.now() - renewed).value <= 1'600);
  }
}

TEST_CASE("A run that a restarted runner has started is not given up during the lease it got") {
  session_fixture f;
  f.report({});
  f.report({});  // Of the poll with a lease; the one that waits has none.
  f.restart_runner();
  f.loop.run_for(millis{150});
  f.start("job.0.0.5");
  f.loop.run_for(millis{1});
  // The lease's end by the previous clock is later than the longest lease of the new one.
  REQUIRE(f.commands.starts.back().lease_until_ms > f.clock() + f.options.runner_max_lease.value);
  f.commands.start_answers.back()({command_status::done, f.clock()});
  f.silence(f.options.runner_max_lease);
  CHECK(f.leader.lost.empty());
  f.silence(millis{1'000});
  CHECK(f.leader.lost.size() == 2);
}

TEST_CASE("An answer beside a start without one lengthens no lease by the runner's maximum") {
  session_fixture f;
  f.report({});
  f.loop.run_for(millis{1});
  f.report({});
  f.start("job.0.0.5");
  f.start("job.0.0.6");
  REQUIRE(f.commands.start_answers.size() == 2);
  f.commands.start_answers[0]({command_status::unknown, {}});
  f.commands.report(f.state());  // Under the next token, which settles the first start.
  const instant before = f.session.lease_limit().in_time;
  f.loop.run_for(millis{1});
  f.commands.start_answers[1]({command_status::done, f.clock()});
  CHECK(f.session.lease_limit().in_time.value == before.value);
}

TEST_CASE("A poll that a restarted runner has answered extends leases by the runner's maximum") {
  session_fixture f;
  f.report({});
  f.loop.run_for(millis{2'000});
  f.session.tick();
  f.restart_runner();
  f.loop.run_for(millis{300});
  REQUIRE(f.last_poll().lease_until_ms.value_or(0) > f.clock() + f.options.runner_max_lease.value);
  f.report({});
  f.silence(f.options.runner_max_lease - millis{500});
  CHECK(f.leader.lost.empty());
}

TEST_CASE("A start is not sent again to another incarnation than the one it was placed on") {
  session_fixture f;
  f.report({});
  f.start("job.0.0.5");
  f.restart_runner();
  f.loop.run_for(millis{300});
  f.commands.start_answers.back()({command_status::unknown, {}});
  f.report({});  // Of the poll under the next token.
  f.report({});
  f.loop.run_for(f.options.retry);
  f.session.tick();
  CHECK(f.commands.starts.size() == 1);
  // The first start may still be executed, so a stop has to close the run.
  REQUIRE(f.commands.stops.size() == 1);
  CHECK(f.commands.stops[0].task == "job.0.0.5");
}

TEST_CASE("A lease is not reckoned by the clock of an earlier incarnation in an old entry") {
  session_fixture f;
  f.report({});
  constexpr std::int64_t earlier_incarnation = 3;
  f.list(earlier_incarnation, 900'000);
  f.list(first_incarnation, f.clock());
  f.report({});
  f.start("job.0.0.5");
  REQUIRE(!f.commands.starts.empty());
  CHECK(f.commands.starts.back().lease_until_ms <= f.clock() + f.options.max_lease.value);
}

TEST_CASE("A late report of the previous incarnation leaves no idle runner unused for good") {
  session_fixture f;
  f.report({});
  poll_report late = f.state();
  late.running.clear();
  late.finished = {{1, long_task, 1, run_outcome::done, ""}};
  f.restart_runner();
  f.list(next_incarnation, f.clock());
  f.commands.report(late);
  f.session.end_stored(1);
  f.loop.run_for(millis{1'000});
  f.session.tick();
  REQUIRE(!f.commands.answers.empty());
  poll_report idle = f.state();
  idle.running.clear();
  f.commands.report(idle);
  f.commands.report(idle);  // The first one under the new token.
  CHECK(f.leader.admitted);
}

TEST_CASE("A start is not sent again once the runner's entry shows a restart") {
  session_fixture f;
  f.report({});
  f.start("job.0.0.5");
  f.restart_runner();
  f.loop.run_for(millis{100});
  f.commands.start_answers.back()({command_status::unknown, {}});
  f.list(next_incarnation, f.clock());
  f.loop.run_for(f.options.retry);
  f.session.tick();
  CHECK(f.commands.starts.size() == 1);
}

TEST_CASE("Ends are acknowledged although each answer takes 650 ms to come back") {
  session_fixture f;
  f.report({end_of(1)});
  f.session.end_stored(1);
  f.loop.run_for(millis{2'000});
  std::int64_t acked = 0;
  constexpr int rounds = 100;
  for (int i = 0; i < rounds && acked < 2; ++i) {
    f.session.tick();
    if (f.commands.answers.empty()) {
      f.loop.run_for(millis{50});
      continue;
    }
    acked = std::max(acked, f.last_poll().acked_up_to);
    f.listed = {end_of(2)};
    const poll_report slow = f.state();
    f.loop.run_for(millis{650});
    f.commands.report(slow);
    f.session.end_stored(2);
  }
  CHECK(acked == 2);
}

TEST_CASE("A runner takes no work before all runs that it reports are counted") {
  session_fixture f;
  poll_report first = f.state();
  first.running.push_back({"job.0.0.98", 1, "", 100});
  f.commands.report(first);
  CHECK(f.leader.admitted);
  CHECK(f.leader.untracked_before_admission.size() == 1);
}

TEST_CASE("A session tells once when a run begins to get on, and once when it stands still") {
  session_fixture f;
  constexpr millis between_reports{1'000};
  for (const std::int32_t percent : {0, 1, 2, 3, 3, 3, 3, 3}) {
    f.commands.report(f.state(percent));
    f.loop.run_for(between_reports);
    f.session.tick();
  }
  CHECK(f.leader.progress == std::vector<bool>{true, false});
}

}  // namespace
}  // namespace monsoonmux::cell
