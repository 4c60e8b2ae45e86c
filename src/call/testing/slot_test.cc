// Simulates, with seeded random schedules, several daemons that share the slots of one runner.
// Daemons pause and restart, placers replace one another, heartbeats get lost and leases are
// delayed. The test counts the calls in progress at the runner independently of the code under
// test.

#include <catch2/catch.hpp>
#include <memory>
#include <random>

#include "call/leased_slots.h"
#include "call/slot_allocator.h"

namespace monsoonmux {
namespace {

constexpr unsigned seeds = 2'000;
constexpr int steps = 300;
constexpr std::int32_t total = 8;
constexpr millis max_call_duration{3'000};
constexpr int receivers = 3;
const std::string subject = "r";

struct daemon {
  std::int64_t incarnation = 1;
  std::unique_ptr<leased_slots> slots;
  instant paused_until;
};

struct running_call {
  int daemon = 0;
  std::int64_t incarnation = 0;
  instant ends;
};

struct delivery {
  instant at;
  int daemon = 0;
  slot_lease lease;
};

class schedule {
 public:
  explicit schedule(unsigned seed) : random(seed) {
    for (daemon& d : this->daemons) {
      d.slots = std::make_unique<leased_slots>(this->time, d.incarnation);
    }
    this->new_placer(true);
  }

  // Returns the largest number of calls that were in progress at the runner at the same time.
  int run() {
    int max_calls = 0;
    for (int i = 0; i < steps; ++i) {
      this->time.advance({this->pick(400)});
      this->end_calls();
      this->step();
      this->deliver();
      this->start_calls();
      max_calls = std::max(max_calls, static_cast<int>(this->calls.size()));
    }
    return max_calls;
  }

  bool served = false;

 private:
  int pick(int n) { return static_cast<int>(this->random() % static_cast<unsigned>(n)); }
  bool is_running(const daemon& d) const { return this->time.now() >= d.paused_until; }

  void new_placer(bool first) {
    this->allocator =
        std::make_unique<slot_allocator>(slot_allocator_options{}, epoch{++this->placer},
                                         max_call_duration, this->time.now(), first);
  }

  void step() {
    const int kind = this->pick(60);
    daemon& d = this->daemons[static_cast<std::size_t>(this->pick(receivers))];
    if (kind == 0) {
      d.paused_until = this->time.now() + millis{this->pick(20'000)};
    } else if (kind == 1) {
      ++d.incarnation;
      d.slots = std::make_unique<leased_slots>(this->time, d.incarnation);
      d.paused_until = {};
    } else if (kind == 2) {
      this->new_placer(false);
    } else {
      this->send_leases();
    }
  }

  // Delivers heartbeats of daemons that are not paused to the placer, except for lost ones, and
  // sends a lease to each daemon whose heartbeat arrived.
  void send_leases() {
    std::vector<slot_receiver> reporting;
    std::vector<int> daemon_indexes;
    for (int i = 0; i < receivers; ++i) {
      const daemon& d = this->daemons[static_cast<std::size_t>(i)];
      if (!this->is_running(d) || this->pick(4) == 0) {
        continue;
      }
      reporting.push_back({daemon_id(std::to_string(i)), d.incarnation, this->time.now().value,
                           d.slots->newest_placer(), d.slots->newest_lease(), d.slots->held()});
      daemon_indexes.push_back(i);
    }
    if (reporting.empty()) {
      return;
    }
    const auto leases = this->allocator->plan({{subject, total}}, reporting, this->time.now());
    for (std::size_t i = 0; i < leases.size(); ++i) {
      const millis delay{this->pick(5) == 0 ? this->pick(15'000) : this->pick(50)};
      this->deliveries.push_back({this->time.now() + delay, daemon_indexes[i], leases[i]});
    }
  }

  void deliver() {
    for (const delivery& m : this->deliveries) {
      daemon& d = this->daemons[static_cast<std::size_t>(m.daemon)];
      if (m.at <= this->time.now() && this->is_running(d)) {
        d.slots->adopt(m.lease);
      }
    }
    std::erase_if(this->deliveries, [&](const delivery& m) {
      return m.at <= this->time.now() &&
             this->is_running(this->daemons[static_cast<std::size_t>(m.daemon)]);
    });
  }

  void start_calls() {
    for (int i = 0; i < receivers; ++i) {
      daemon& d = this->daemons[static_cast<std::size_t>(i)];
      while (this->is_running(d) && this->pick(3) != 0 && d.slots->acquire({subject})) {
        this->served = true;
        this->calls.push_back(
            {i, d.incarnation,
             this->time.now() + millis{this->pick(static_cast<int>(max_call_duration.value))}});
      }
    }
  }

  // A call ends at the runner even if the daemon that sent it has restarted or is paused.
  void end_calls() {
    std::erase_if(this->calls, [&](const running_call& c) {
      if (c.ends > this->time.now()) {
        return false;
      }
      daemon& d = this->daemons[static_cast<std::size_t>(c.daemon)];
      if (d.incarnation == c.incarnation) {
        d.slots->release({subject});
      }
      return true;
    });
  }

  std::mt19937 random;
  fake_clock time;
  std::array<daemon, receivers> daemons;
  std::unique_ptr<slot_allocator> allocator;
  std::int64_t placer = 0;
  std::vector<delivery> deliveries;
  std::vector<running_call> calls;
};

}  // namespace

TEST_CASE(
    "a runner never gets more calls than slots when daemons pause or restart and placers change") {
  int served = 0;
  for (unsigned seed = 0; seed < seeds; ++seed) {
    INFO("seed " << seed);
    schedule s(seed);
    REQUIRE(s.run() <= total);
    served += s.served ? 1 : 0;
  }
  CHECK(served > static_cast<int>(seeds) / 2);
}

TEST_CASE(
    "slots are divided evenly, and a new daemon gets its share once the others have given it up") {
  fake_clock time;
  slot_allocator allocator({}, {1}, max_call_duration, time.now(), true);
  leased_slots a(time, 1);
  leased_slots b(time, 1);
  const auto receiver = [&](const char* name, const leased_slots& slots) {
    return slot_receiver{daemon_id(name),      1,           time.now().value, slots.newest_placer(),
                         slots.newest_lease(), slots.held()};
  };
  a.adopt(allocator.plan({{subject, total}}, {receiver("a", a)}, time.now())[0]);
  CHECK(a.free(subject) == total);
  for (int i = 0; i < 3; ++i) {
    time.advance({500});
    const auto leases =
        allocator.plan({{subject, total}}, {receiver("a", a), receiver("b", b)}, time.now());
    a.adopt(leases[0]);
    b.adopt(leases[1]);
  }
  CHECK(a.free(subject) == total / 2);
  CHECK(b.free(subject) == total / 2);
  time.advance({6'000});
  CHECK(a.free(subject) == 0);
}

}  // namespace monsoonmux
