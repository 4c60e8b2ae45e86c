// From when a claim counts, and until when its predecessor may have sent commands.

#include "cell/leadership.h"

#include <catch2/catch.hpp>

#include "cell/testing/fake_cell.h"
#include "cell/testing/recorded_log.h"

namespace monsoonmux::cell {
namespace {

const leadership_options usual;

// A daemon that takes part in the election, on a fake store.
struct candidate {
  candidate(fake_loop& loop, fake_store& store, const std::string& name)
      : process(loop),
        uplink(loop),
        log(store, this->process, this->uplink, name),
        events(fake_cell::log_descriptor(), loop, name),
        election(this->process, this->log, loop, this->events, options_of(name),
                 {[](epoch) {}, [](const std::string&) {}, [this] { return this->may_claim; },
                  [] { return millis{0}; }}) {}

  static leadership_options options_of(const std::string& name) {
    leadership_options out;
    out.self = daemon_id(name);
    return out;
  }

  bool may_claim = false;
  fake_process process;
  fake_uplink uplink;
  fake_store_port log;
  event_log events;
  leadership election;
};

// A leader whose heartbeats cease first and whose renewals cease `renewed_for` later.
// Returns the last time at which it would send a command, and what its successor takes for
// the end of that time.
std::pair<instant, instant> succeed(millis phase, millis renewed_for) {
  fake_loop loop;
  fake_store store(loop, 1);
  constexpr millis slow_log{60};
  store.latency = slow_log;
  candidate leader(loop, store, "d0");
  candidate successor(loop, store, "d1");
  leader.may_claim = true;
  successor.may_claim = true;
  leader.election.start();
  loop.run_for(millis{1'000});
  REQUIRE(leader.election.leads());
  successor.election.start();
  const instant silent_at = loop.now() + millis{4'000} + phase;
  instant next_heartbeat = loop.now();
  instant last_command{0};
  while (!successor.election.leads() && loop.now() < silent_at + millis{8'000}) {
    if (loop.now() >= next_heartbeat && loop.now() < silent_at) {
      next_heartbeat = loop.now() + millis{100};
      successor.election.heartbeat(epoch{1});
    }
    if (loop.now() >= silent_at + renewed_for) {
      store.partitioned.insert("d0");
    }
    loop.run_for(millis{5});
  }
  REQUIRE(successor.election.leads());
  const instant bound = successor.election.previous_commands_until();
  while (leader.election.may_command()) {
    last_command = loop.now();
    loop.run_for(millis{5});
  }
  return {last_command, bound};
}

TEST_CASE("A successor waits for commands that a leader may send after its last heartbeat") {
  for (millis phase{0}; phase < millis{900}; phase = phase + millis{90}) {
    for (millis renewed_for{0}; renewed_for < millis{1'000};
         renewed_for = renewed_for + millis{50}) {
      INFO("heartbeats cease " << phase.value << " ms later, renewals after " << renewed_for.value
                               << " ms more");
      const auto [last_command, bound] = succeed(phase, renewed_for);
      CHECK(last_command.value <= bound.value);
    }
  }
}

// One candidate whose log is played by the test.
struct lone_candidate {
  lone_candidate() {
    this->election.start();
    this->log.deliver();
  }
  // Runs until the candidate has sent the next append; returns when that was.
  instant next_append() {
    while (this->log.appends.empty()) {
      this->loop.run_for(millis{1});
    }
    return this->loop.now();
  }
  instant window_end() {
    while (this->election.may_command()) {
      this->loop.run_for(millis{1});
    }
    return this->loop.now();
  }

  fake_loop loop;
  recorded_log log;
  event_log events{fake_cell::log_descriptor(), loop, "d0"};
  int gained = 0;
  leadership election{loop,
                      log,
                      loop,
                      events,
                      candidate::options_of("d0"),
                      {[this](epoch) { ++this->gained; }, [](const std::string&) {},
                       [] { return true; }, [] { return millis{0}; }}};
};

TEST_CASE("A claim whose answer was lost counts from the attempt that was stored") {
  lone_candidate c;
  const instant stored = c.next_append();
  c.log.execute(c.log.appends.front().request);
  c.loop.run_for(millis{1'000});
  c.log.answer({append_status::unknown, 0, 0, 0});
  const instant repeated = c.next_append();
  REQUIRE(repeated > stored);
  c.log.answer(c.log.execute(c.log.appends.front().request));
  c.log.deliver();
  REQUIRE(c.election.leads());
  CHECK(c.window_end().value <= (stored + usual.command_window).value);
}

TEST_CASE("A claim that was not stored at first counts from the attempt that was") {
  lone_candidate c;
  (void)c.next_append();
  c.loop.run_for(millis{1'000});
  c.log.answer({append_status::unknown, 0, 0, 0});
  const instant stored = c.next_append();
  c.log.answer(c.log.execute(c.log.appends.front().request));
  REQUIRE(c.election.leads());
  CHECK(c.window_end().value == (stored + usual.command_window).value);
}

TEST_CASE("A leader whose epoch is over does not lead again by its own late renewal") {
  lone_candidate c;
  (void)c.next_append();
  c.log.answer(c.log.execute(c.log.appends.front().request));
  c.log.deliver();
  REQUIRE(c.election.leads());
  (void)c.next_append();  // A renewal.
  c.log.execute(c.log.appends.front().request);
  c.election.lose("a runner has seen a higher fencing token");
  c.log.deliver();
  CHECK_FALSE(c.election.leads());
  CHECK(c.gained == 1);
}

TEST_CASE("A late answer to a claim does not revive a leadership that another claim has ended") {
  lone_candidate c;
  (void)c.next_append();
  const append_answer stored = c.log.execute(c.log.appends.front().request);
  c.log.deliver();
  REQUIRE(c.election.leads());
  leader_claim other;
  other.leader_epoch = epoch{2};
  other.nonce = 1;
  c.log.put(other);
  c.log.deliver();
  REQUIRE_FALSE(c.election.leads());
  c.log.answer(stored);
  CHECK_FALSE(c.election.leads());
  CHECK(c.election.newest()->leader_epoch.value == 2);
}

TEST_CASE("A claim that is found in the log does not shorten the wait for its predecessor") {
  lone_candidate c;
  leader_claim previous;
  previous.leader_epoch = epoch{1};
  previous.nonce = 1;
  c.log.put(previous);
  const instant last_renewal_read = c.loop.now();
  c.log.deliver();
  (void)c.next_append();
  c.log.execute(c.log.appends.front().request);
  c.loop.run_for(millis{300});
  c.log.deliver();
  REQUIRE(c.election.leads());
  const instant safe = last_renewal_read + usual.command_window;
  CHECK(c.election.previous_commands_until().value >= safe.value);
}

}  // namespace
}  // namespace monsoonmux::cell
