// From when a claim counts, and until when its predecessor may have sent commands.

#include "cell/leadership.h"

#include <catch2/catch.hpp>

#include "cell/testing/fake_cell.h"

namespace monsoonmux::cell {
namespace {

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

}  // namespace
}  // namespace monsoonmux::cell
