// A process that is frozen between two statements: what it then tells its runners and its
// successors about leases must still hold.

#include <catch2/catch.hpp>

#include "cell/leadership.h"
#include "cell/runner_session.h"
#include "cell/testing/fake_cell.h"

namespace monsoonmux::cell {
namespace {

constexpr millis frozen{3'000};

// Real time, which passes also while a process is frozen: at its n-th reading from now on.
class freezing_clock final : public clock {
 public:
  explicit freezing_clock(const fake_loop& loop) : loop(loop) {}
  instant now() const override {
    this->passed += this->readings_left-- == 0 ? frozen : millis{0};
    return this->loop.now() + this->passed;
  }
  std::int64_t wall_ms() const override { return this->now().value; }
  void freeze_before_reading(int reading) { this->readings_left = reading; }
  void freeze() { this->passed += frozen; }

 private:
  const fake_loop& loop;
  mutable millis passed{0};
  mutable int readings_left = -1;
};

class recorded_starts final : public runner_port {
 public:
  void start(const start_command& command, std::function<void(command_answer)>) override {
    this->lease_ends.push_back(command.lease_until_ms);
  }
  void stop(const stop_command&, std::function<void(command_answer)>) override {}
  void poll(const poll_request& request, std::function<void(poll_answer)> on_answer) override {
    if (request.lease_until_ms) {
      this->lease_ends.push_back(*request.lease_until_ms);
    }
    this->answer = std::move(on_answer);
  }
  std::vector<std::int64_t> lease_ends;  // On the runner's clock.
  std::function<void(poll_answer)> answer;
};

class limited_leases final : public session_events {
 public:
  void runner_admitted(const std::string&) override {}
  void untracked_run_found(const std::string&, const run_key&) override {}
  void runner_unresponsive(const std::string&) override {}
  void run_ended(const std::string&, const run_key&, run_outcome, const std::string&,
                 std::int64_t) override {}
  void run_lost(const std::string&, const run_key&, std::string_view) override {}
  void checkpoint_reported(const std::string&, const run_key&, const std::string&) override {}
  void progress_changed(const std::string&, const run_key&, bool) override {}
  void ticket_refused(const std::string&, const run_key&) override {}
  void token_refused(const std::string&) override {}
  instant leases_until(const std::string&) override { return this->limit; }
  instant limit{0};
};

TEST_CASE("A leader that is frozen while it grants a lease does not exceed its limit") {
  constexpr int readings = 8;
  for (int reading = 0; reading < readings; ++reading) {
    INFO("frozen before reading " << reading << " of the clock");
    fake_loop loop;
    freezing_clock time(loop);
    event_log events(fake_cell::log_descriptor(), loop, "test");
    recorded_starts commands;
    limited_leases leader;
    constexpr millis limit{7'000};
    const instant born = time.now();
    leader.limit = born + limit;
    runner_session session(commands, time, events, leader, "i-1", epoch{2}, lease_limits{}, {});
    runner_entry entry;
    entry.id = "i-1";
    entry.address = "a:1";
    entry.incarnation = 1;
    session.update(entry);
    poll_report report;
    report.incarnation = 1;
    commands.answer({command_status::done, report});
    time.freeze_before_reading(reading);
    session.start({*parse_task_ref("job.0.0.0"), 1}, "p", {}, "", false);
    for (const std::int64_t end : commands.lease_ends) {
      CHECK((born + millis{end}).value <= leader.limit.value);
    }
  }
}

struct election_member {
  election_member(fake_loop& loop, const clock& time, fake_store& store, const std::string& name)
      : process(loop),
        uplink(loop),
        log(store, this->process, this->uplink, name),
        events(fake_cell::log_descriptor(), loop, name),
        election(this->process, this->log, time, this->events, options_of(name),
                 {[](epoch) {}, [](const std::string&) {}, [this] { return this->may_claim; },
                  [] { return millis{0}; }, [this] { return this->bounds(); }, [] {}}) {}

  static leadership_options options_of(const std::string& name) {
    leadership_options out;
    out.self = daemon_id(name);
    return out;
  }

  bool may_claim = false;
  std::function<std::vector<runner_lease_bound>()> bounds = [] {
    return std::vector<runner_lease_bound>();
  };
  fake_process process;
  fake_uplink uplink;
  fake_store_port log;
  event_log events;
  leadership election;
};

TEST_CASE("A successor waits for a lease although the leader was frozen as it wrote of it") {
  fake_loop loop;
  freezing_clock time(loop);
  fake_store store(loop, 1);
  election_member leader(loop, time, store, "d0");
  election_member successor(loop, time, store, "d1");
  leader.may_claim = true;
  leader.election.start();
  successor.election.start();
  constexpr millis settle_time{2'000};
  loop.run_for(settle_time);
  REQUIRE(leader.election.leads());
  constexpr millis lease{6'000};
  const instant lease_end = time.now() + lease;
  bool was_frozen = false;
  leader.bounds = [&] {
    if (!std::exchange(was_frozen, true)) {
      time.freeze();
    }
    return std::vector<runner_lease_bound>{{"i-0", std::max(millis{0}, lease_end - time.now())}};
  };
  constexpr millis step{5};
  while (!was_frozen) {
    loop.run_for(step);
  }
  loop.run_for(step);  // The renewal is stored, and no other is sent.
  store.partitioned.insert("d0");
  successor.may_claim = true;
  loop.run_for(settle_time);
  REQUIRE(successor.election.leads());
  CHECK(successor.election.inherited().on("i-0").in_time.value >= lease_end.value);
}

}  // namespace
}  // namespace monsoonmux::cell
