// A runner starts again under its id while commands to its previous incarnation are under way.

#include <catch2/catch.hpp>

#include "cell/testing/session_fixture.h"

namespace monsoonmux::cell {
namespace {

TEST_CASE("A run is not taken for over while its start may still reach the restarted runner") {
  session_fixture f;
  f.report({});
  f.loop.run_for(millis{1});
  f.report({});
  f.start("job.0.0.1");
  f.commands.start_answers.back()({command_status::unknown, {}});
  f.loop.run_for(f.options.retry);
  f.session.tick();
  f.commands.report(f.state());  // The proof that a repeat waits for.
  REQUIRE(f.commands.starts.size() == 2);
  const fencing_token before = f.commands.starts.back().target.token;
  f.commands.start_answers.back()({command_status::done, f.clock()});
  f.loop.run_for(millis{10});
  f.restart_runner();
  while (f.last_poll().target.token == before) {
    REQUIRE(!f.commands.answers.empty());
    f.commands.report(f.idle_state());
  }
  CHECK(f.leader.lost == std::vector<std::string>{"runner_crashed"});  // The one that has run.
  CHECK_FALSE(f.leader.admitted);
  CHECK(f.last_poll().target.token > before);
  CHECK_FALSE(f.last_poll().lease_until_ms.has_value());
  CHECK(f.last_poll().acked_up_to == 0);
  f.commands.report(f.idle_state());
  CHECK(f.leader.lost.size() == 2);
}

TEST_CASE("All commands after a restart carry a higher token than all commands before it") {
  session_fixture f;
  f.report({});
  f.start("job.0.0.1");
  REQUIRE(f.commands.starts.size() == 1);
  const fencing_token before = f.commands.starts.back().target.token;
  f.restart_runner();
  f.list(next_incarnation, 0);
  f.commands.report(f.idle_state());
  f.commands.report(f.idle_state());
  REQUIRE(f.leader.admitted);
  f.start("job.0.0.2");
  REQUIRE(f.commands.starts.size() == 2);
  CHECK(f.commands.starts.back().target.token > before);
  f.session.stop({*parse_task_ref("job.0.0.2"), 1});
  CHECK(f.commands.stops.back().target.token > before);
  f.commands.report(f.idle_state());
  CHECK(f.last_poll().target.token > before);
}

TEST_CASE("A start that is refused for our own later token ends no epoch") {
  session_fixture f;
  f.report({});
  f.start("job.0.0.1");
  const auto answer = std::move(f.commands.start_answers.back());
  f.restart_runner();
  f.commands.report(f.idle_state());
  answer({command_status::fenced, 0});
  CHECK(f.leader.refused_tokens == 0);
}

TEST_CASE("A start that is refused for a higher token than ours ends the epoch") {
  session_fixture f;
  f.report({});
  f.start("job.0.0.1");
  f.commands.start_answers.back()({command_status::fenced, 0});
  CHECK(f.leader.refused_tokens == 1);
}

TEST_CASE("A run that was stopped at one incarnation and begins at the next is stopped there") {
  session_fixture f;
  const run_key run{*parse_task_ref("job.0.0.1"), 1};
  const auto answer_stop = [&f] {
    const auto answer = std::exchange(f.commands.stop_answers, {}).back();
    answer({command_status::done, f.clock()});
  };
  const bool answered_late = GENERATE(false, true);
  f.report({});
  f.start("job.0.0.1");
  f.commands.start_answers.back()({command_status::unknown, {}});
  f.session.stop(run);
  REQUIRE(f.commands.stops.size() == 1);
  if (!answered_late) {
    answer_stop();
  }
  f.loop.run_for(millis{10});
  f.restart_runner();
  poll_report begun = f.idle_state();
  begun.running = {{"job.0.0.1", 1, "", 100}};
  f.commands.report(begun);
  if (answered_late) {
    answer_stop();
  }
  f.commands.report(begun);
  f.loop.run_for(f.options.retry);
  f.session.tick();
  REQUIRE(f.commands.stops.size() == 2);
  CHECK(f.commands.stops.back().target.token > f.commands.stops.front().target.token);
}

TEST_CASE("The clock in an answer of one incarnation grants no lease at the next") {
  session_fixture f;
  f.report({});
  f.start("job.0.0.1");
  const std::int64_t former_clock = f.clock();
  const auto late_answer = f.commands.start_answers.back();
  f.loop.run_for(millis{100});
  f.restart_runner();
  f.list(next_incarnation, 0);
  f.commands.report(f.idle_state());
  f.commands.report(f.idle_state());
  REQUIRE(f.leader.admitted);
  late_answer({command_status::done, former_clock});
  f.start("job.0.0.2");
  REQUIRE(f.commands.starts.size() == 2);
  CHECK(f.commands.starts.back().lease_until_ms <= f.clock() + f.options.max_lease.value);
}

TEST_CASE("A run that began at the next incarnation is not lost by the crash of the one before") {
  session_fixture f;
  f.report({});
  f.loop.run_for(millis{10});
  f.restart_runner();
  f.list(next_incarnation, 0);
  f.report({});
  f.report({});
  REQUIRE(f.leader.admitted);
  CHECK(f.session.known_to_run({*parse_task_ref(long_task), 1}) == millis{0});
  f.silence(millis{20'000});
  CHECK(f.leader.lost == std::vector<std::string>{"lease_lapsed"});
}

TEST_CASE("The first poll after an entry that shows a restart refuses what was sent before") {
  session_fixture f;
  f.report({});
  const fencing_token before = f.last_poll().target.token;
  const auto waiting = std::exchange(f.commands.answers, {}).back();
  f.restart_runner();
  f.list(next_incarnation, 0);
  waiting({command_status::fenced, {}});
  CHECK(f.leader.refused_tokens == 0);
  f.loop.run_for(f.options.retry);
  f.session.tick();
  REQUIRE(f.commands.answers.size() == 1);
  CHECK(f.last_poll().target.token > before);
}

TEST_CASE("The next leader's first token is higher than all of its predecessor") {
  runner_tokens tokens{epoch{7}};
  for (std::int64_t i = 0; i < 2 * runner_tokens::per_epoch; ++i) {
    tokens.raise();
  }
  CHECK(tokens.current() < runner_tokens{epoch{8}}.current());
  CHECK(tokens.current() > runner_tokens{epoch{7}}.current());
}

}  // namespace
}  // namespace monsoonmux::cell
