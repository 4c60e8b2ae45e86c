#include "cell/runner_session.h"

#include <catch2/catch.hpp>
#include <vector>

#include "cell/testing/fake_cell.h"

namespace monsoonmux::cell {
namespace {

// A run that never ends, so that the session keeps polling the runner.
const std::string long_task = "job.0.0.99";

// Records polls; the test answers them.
class recorded_commands final : public runner_port {
 public:
  void start(const start_command&, std::function<void(command_answer)>) override {}
  void stop(const stop_command&, std::function<void(command_answer)>) override {}
  void poll(const poll_request& request, std::function<void(poll_answer)> on_answer) override {
    this->polls.push_back(request);
    this->answers.push_back(std::move(on_answer));
  }
  void report(std::vector<finished_run> ends, std::int64_t incarnation = 7) {
    poll_answer out;
    out.status = command_status::done;
    out.report.incarnation = incarnation;
    out.report.clock_ms = 1'000;
    out.report.finished = std::move(ends);
    out.report.running.push_back({long_task, 1, "", 100});
    const auto answer = std::move(this->answers.back());
    this->answers.clear();
    answer(out);
  }
  std::vector<poll_request> polls;
  std::vector<std::function<void(poll_answer)>> answers;
};

class ignored_events final : public session_events {
 public:
  void runner_admitted(const std::string&, std::int64_t) override {}
  void runner_unresponsive(const std::string&) override {}
  void run_ended(const std::string&, const run_key&, run_outcome, const std::string&,
                 std::int64_t) override {}
  void run_lost(const std::string&, const run_key&, std::string_view) override {}
  void checkpoint_reported(const std::string&, const run_key&, const std::string&) override {}
  void ticket_refused(const std::string&, const run_key&) override {}
  void token_refused(const std::string&) override {}
};

struct session_fixture {
  fake_loop loop;
  event_log events{fake_cell::log_descriptor(), loop, "test"};
  recorded_commands commands;
  ignored_events leader;
  runner_session session{commands, loop, events, leader, "i-1", epoch{2}, instant{0}, {}};

  session_fixture() {
    runner_entry entry;
    entry.id = "i-1";
    entry.address = "a:1";
    entry.incarnation = 7;
    this->session.recover({*parse_task_ref(long_task), 1});
    this->session.update(entry);
  }
  // The number up to which the next poll acknowledges ends.
  std::int64_t acked() {
    constexpr millis long_enough{2'000};
    this->loop.run_for(long_enough);
    this->session.tick();
    return this->commands.polls.back().acked_up_to;
  }
};

finished_run end_of(std::int64_t number) {
  return {number, "job.0.0." + std::to_string(number), 1, run_outcome::done, ""};
}

TEST_CASE("An end is acknowledged only when it and all ends before it are stored") {
  session_fixture f;
  f.commands.report({end_of(4), end_of(5), end_of(6)});
  // End 6 is stored first: its job was settled before, so nothing had to be written.
  f.session.end_stored(6);
  CHECK(f.acked() < 4);
  f.commands.report({end_of(4), end_of(5), end_of(6)});
  f.session.end_stored(4);
  CHECK(f.acked() == 4);
  f.commands.report({end_of(5), end_of(6), end_of(9)});
  f.session.end_stored(5);
  CHECK(f.acked() >= 6);
  CHECK(f.acked() < 9);
}

TEST_CASE("Ends of a restarted runner are acknowledged from the beginning") {
  session_fixture f;
  f.commands.report({end_of(4), end_of(5)});
  f.session.end_stored(5);
  (void)f.acked();
  constexpr std::int64_t next_incarnation = 8;
  f.commands.report({end_of(1)}, next_incarnation);
  f.session.end_stored(4);  // Reported by the previous incarnation.
  CHECK(f.acked() == 0);
  f.commands.report({end_of(1)}, next_incarnation);
  f.session.end_stored(1);
  CHECK(f.acked() == 1);
}

}  // namespace
}  // namespace monsoonmux::cell
