#include "cell/runner_session.h"

#include <catch2/catch.hpp>
#include <vector>

#include "cell/testing/fake_cell.h"

namespace monsoonmux::cell {
namespace {

// Runs all the while, so that the runner is looked at.
const std::string lasting_task = "job.0.0.99";

// Keeps what is ordered; the test answers.
class held_orders final : public runner_port {
 public:
  void start(const start_order&, std::function<void(order_answer)>) override {}
  void stop(const stop_order&, std::function<void(order_answer)>) override {}
  void hold(const hold_order& order, std::function<void(hold_answer)> on_answer) override {
    this->looks.push_back(order);
    this->answers.push_back(std::move(on_answer));
  }
  void report(std::vector<finished_run> ends, std::int64_t incarnation = 7) {
    hold_answer out;
    out.status = order_status::done;
    out.report.incarnation = incarnation;
    out.report.clock_ms = 1'000;
    out.report.finished = std::move(ends);
    out.report.running.push_back({lasting_task, 1, "", 100});
    const auto answer = std::move(this->answers.back());
    this->answers.clear();
    answer(out);
  }
  std::vector<hold_order> looks;
  std::vector<std::function<void(hold_answer)>> answers;
};

class quiet_owner final : public session_events {
 public:
  void runner_admitted(const std::string&, std::int64_t) override {}
  void runner_silent(const std::string&) override {}
  void run_ended(const std::string&, const run_key&, run_outcome, const std::string&,
                 std::int64_t) override {}
  void run_gone(const std::string&, const run_key&, std::string_view) override {}
  void checkpoint_seen(const std::string&, const run_key&, const std::string&) override {}
  void ticket_refused(const std::string&, const run_key&) override {}
  void token_refused(const std::string&) override {}
};

struct session_fixture {
  fake_loop loop;
  event_log events{fake_cell::log_descriptor(), loop, "test"};
  held_orders orders;
  quiet_owner owner;
  runner_session session{orders, loop, events, owner, "i-1", epoch{2}, instant{0}, {}};

  session_fixture() {
    runner_entry entry;
    entry.id = "i-1";
    entry.address = "a:1";
    entry.incarnation = 7;
    this->session.recover({*parse_task_ref(lasting_task), 1});
    this->session.update(entry);
  }
  // The number up to which the runner may forget ends, in the next look.
  std::int64_t noted() {
    constexpr millis long_enough{2'000};
    this->loop.run_for(long_enough);
    this->session.tick();
    return this->orders.looks.back().last_seen;
  }
};

finished_run end_of(std::int64_t number) {
  return {number, "job.0.0." + std::to_string(number), 1, run_outcome::done, ""};
}

TEST_CASE("An end is noted only when it and all before it are stored") {
  session_fixture f;
  f.orders.report({end_of(4), end_of(5), end_of(6)});
  f.session.end_stored(6);  // Of a job that was settled before, so nothing had to be written.
  CHECK(f.noted() < 4);
  f.orders.report({end_of(4), end_of(5), end_of(6)});
  f.session.end_stored(4);
  CHECK(f.noted() == 4);
  f.orders.report({end_of(5), end_of(6), end_of(9)});
  f.session.end_stored(5);
  CHECK(f.noted() >= 6);
  CHECK(f.noted() < 9);
}

TEST_CASE("A reborn runner's ends are counted anew") {
  session_fixture f;
  f.orders.report({end_of(4), end_of(5)});
  f.session.end_stored(5);
  (void)f.noted();
  constexpr std::int64_t next_life = 8;
  f.orders.report({end_of(1)}, next_life);
  f.session.end_stored(4);  // Of the former life.
  CHECK(f.noted() == 0);
  f.orders.report({end_of(1)}, next_life);
  f.session.end_stored(1);
  CHECK(f.noted() == 1);
}

}  // namespace
}  // namespace monsoonmux::cell
