#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cell/runner_session.h"
#include "cell/testing/fake_cell.h"

namespace monsoonmux::cell {

// A run that never ends, so that the session keeps polling the runner.
inline const std::string long_task = "job.0.0.99";

// Records polls; the test answers them.
class recorded_commands final : public runner_port {
 public:
  void start(const start_command& command, std::function<void(command_answer)> on_answer) override {
    this->starts.push_back(command);
    this->start_answers.push_back(std::move(on_answer));
  }
  void stop(const stop_command& command, std::function<void(command_answer)> on_answer) override {
    this->stops.push_back(command);
    this->stop_answers.push_back(std::move(on_answer));
  }
  void poll(const poll_request& request, std::function<void(poll_answer)> on_answer) override {
    this->polls.push_back(request);
    this->answers.push_back(std::move(on_answer));
  }
  void report(const poll_report& given) {
    const auto answer = std::move(this->answers.back());
    this->answers.pop_back();
    answer({command_status::done, given});
  }
  std::vector<poll_request> polls;
  std::vector<std::function<void(poll_answer)>> answers;
  std::vector<start_command> starts;
  std::vector<stop_command> stops;
  std::vector<std::function<void(command_answer)>> start_answers;
  std::vector<std::function<void(command_answer)>> stop_answers;
};

class recorded_events final : public session_events {
 public:
  bool admitted = false;
  std::vector<run_key> untracked_before_admission;
  void runner_admitted(const std::string&) override { this->admitted = true; }
  void untracked_run_found(const std::string&, const run_key& run) override {
    if (!this->admitted) {
      this->untracked_before_admission.push_back(run);
    }
  }
  void runner_unresponsive(const std::string&) override { this->admitted = false; }
  void run_ended(const std::string&, const run_key&, run_outcome, const std::string&,
                 std::int64_t) override {}
  void run_lost(const std::string&, const run_key&, std::string_view why) override {
    this->lost.emplace_back(why);
  }
  void checkpoint_reported(const std::string&, const run_key&, const std::string&) override {}
  void progress_changed(const std::string&, const run_key&, bool gets_on) override {
    this->progress.push_back(gets_on);
  }
  void ticket_refused(const std::string&, const run_key&) override {}
  void token_refused(const std::string&) override { ++this->refused_tokens; }
  int refused_tokens = 0;
  instant leases_until(const std::string&) override { return this->lease_limit; }
  instant lease_limit = never;
  bool has_room(const std::string&) override { return this->room; }
  bool room = true;
  std::vector<std::string> lost;
  std::vector<bool> progress;  // What progress_changed() has told.
};

constexpr std::int64_t first_incarnation = 7;
constexpr std::int64_t next_incarnation = 8;
constexpr millis uptime{100'000};

struct session_fixture {
  fake_loop loop;
  instant born = loop.now() - uptime;
  std::int64_t incarnation = first_incarnation;
  std::vector<finished_run> listed;  // The ends that the runner lists.
  event_log events{fake_cell::log_descriptor(), loop, "test"};
  recorded_commands commands;
  recorded_events leader;
  session_options options{millis{6'000}, millis{10'000}};
  counting_clock time{loop};
  runner_session session{commands, time, events, leader, "i-1", epoch{2}, lease_limits{}, options};

  session_fixture() {
    this->session.recover({*parse_task_ref(long_task), 1}, first_incarnation, false);
    this->list(first_incarnation, 0);
  }
  void list(std::int64_t born_ms, std::int64_t clock_ms) {
    runner_entry entry;
    entry.id = "i-1";
    entry.address = "a:1";
    entry.incarnation = born_ms;
    entry.clock_ms = clock_ms;
    this->session.update(entry);
  }
  void start(const std::string& task) {
    this->session.start({*parse_task_ref(task), 1}, "p", {}, "", false);
  }
  // Polls get no answer for this long.
  void silence(millis duration) {
    constexpr millis step{50};
    for (millis passed{0}; passed < duration; passed += step) {
      for (const auto& answer : std::exchange(this->commands.answers, {})) {
        answer({command_status::unknown, {}});
      }
      this->loop.run_for(step);
      this->session.tick();
    }
  }
  std::int64_t clock() const { return (this->loop.now() - this->born).value; }
  void restart_runner() {
    this->born = this->loop.now();
    this->incarnation = next_incarnation;
    this->listed.clear();
  }
  // What the runner answers to a poll now.
  poll_report state(std::int32_t percent = 100) const {
    return {this->incarnation, this->clock(), {{long_task, 1, "", percent}}, this->listed};
  }
  // The same when nothing runs there.
  poll_report idle_state() const { return {this->incarnation, this->clock(), {}, this->listed}; }
  void end_all_runs() {
    this->listed = {{1, long_task, 1, run_outcome::done, ""}};
    this->commands.report(this->idle_state());
    this->session.end_stored(1);
    this->listed.clear();
    while (!this->commands.answers.empty()) {
      this->commands.report(this->idle_state());
    }
  }
  void report(std::vector<finished_run> ends) {
    this->listed = std::move(ends);
    this->commands.report(this->state());
  }
  // The number up to which ends are acknowledged after a while. Polls that acknowledge nothing
  // may come first.
  std::int64_t acked() {
    constexpr millis long_enough{2'000};
    this->loop.run_for(long_enough);
    this->session.tick();
    constexpr int most_polls = 3;
    for (int i = 0; i < most_polls && this->last_poll().acked_up_to == 0; ++i) {
      if (!this->commands.answers.empty()) {
        this->commands.report(this->state());
      }
      this->loop.run_for(session_options{}.retry);
      this->session.tick();
    }
    return this->last_poll().acked_up_to;
  }
  const poll_request& last_poll() const { return this->commands.polls.back(); }
};

inline finished_run end_of(std::int64_t number) {
  return {number, "job.0.0." + std::to_string(number), 1, run_outcome::done, ""};
}

}  // namespace monsoonmux::cell
