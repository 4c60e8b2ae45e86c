// Drives one runner's slots through seeded schedules of several daemons that
// pause, die and restart and of placers that follow one another, with grants and
// heartbeats delayed or lost. What is in use at the runner is counted by hand.

#include <catch2/catch.hpp>
#include <memory>
#include <random>

#include "call/slot_book.h"
#include "call/slot_ledger.h"

namespace monsoonmux {
namespace {

constexpr unsigned seeds = 2'000;
constexpr int steps = 300;
constexpr std::int32_t total = 8;
constexpr millis longest_call{3'000};
constexpr int takers = 3;
const std::string subject = "r";

struct daemon {
  std::int64_t incarnation = 1;
  std::unique_ptr<slot_book> book;
  instant paused_until;
};

struct running_call {
  int daemon = 0;
  std::int64_t incarnation = 0;
  instant ends;
};

struct mail {
  instant at;
  int daemon = 0;
  slot_grant grant;
};

class schedule {
 public:
  explicit schedule(unsigned seed) : random(seed) {
    for (daemon& d : this->daemons) {
      d.book = std::make_unique<slot_book>(this->time, d.incarnation);
    }
    this->new_placer(true);
  }

  // Returns the most calls ever at the runner.
  int run() {
    int most = 0;
    for (int i = 0; i < steps; ++i) {
      this->time.advance({this->pick(400)});
      this->end_calls();
      this->step();
      this->deliver();
      this->start_calls();
      most = std::max(most, static_cast<int>(this->calls.size()));
    }
    return most;
  }

  bool served = false;

 private:
  int pick(int n) { return static_cast<int>(this->random() % static_cast<unsigned>(n)); }
  bool awake(const daemon& d) const { return this->time.now() >= d.paused_until; }

  void new_placer(bool first) {
    this->ledger = std::make_unique<slot_ledger>(slot_options{}, epoch{++this->placer},
                                                 longest_call, this->time.now(), first);
  }

  void step() {
    const int kind = this->pick(60);
    daemon& d = this->daemons[static_cast<std::size_t>(this->pick(takers))];
    if (kind == 0) {
      d.paused_until = this->time.now() + millis{this->pick(20'000)};
    } else if (kind == 1) {
      ++d.incarnation;
      d.book = std::make_unique<slot_book>(this->time, d.incarnation);
      d.paused_until = {};
    } else if (kind == 2) {
      this->new_placer(false);
    } else {
      this->grant();
    }
  }

  // Heartbeats of awake daemons reach the placer, or are lost; grants go out.
  void grant() {
    std::vector<slot_taker> alive;
    std::vector<int> who;
    for (int i = 0; i < takers; ++i) {
      const daemon& d = this->daemons[static_cast<std::size_t>(i)];
      if (!this->awake(d) || this->pick(4) == 0) {
        continue;
      }
      alive.push_back({daemon_id(std::to_string(i)), d.incarnation, this->time.now().value,
                       d.book->newest_placer(), d.book->newest(), d.book->held()});
      who.push_back(i);
    }
    if (alive.empty()) {
      return;
    }
    const auto grants = this->ledger->plan({{subject, total}}, alive, this->time.now());
    for (std::size_t i = 0; i < grants.size(); ++i) {
      const millis delay{this->pick(5) == 0 ? this->pick(15'000) : this->pick(50)};
      this->mails.push_back({this->time.now() + delay, who[i], grants[i]});
    }
  }

  void deliver() {
    for (const mail& m : this->mails) {
      daemon& d = this->daemons[static_cast<std::size_t>(m.daemon)];
      if (m.at <= this->time.now() && this->awake(d)) {
        d.book->adopt(m.grant);
      }
    }
    std::erase_if(this->mails, [&](const mail& m) {
      return m.at <= this->time.now() &&
             this->awake(this->daemons[static_cast<std::size_t>(m.daemon)]);
    });
  }

  void start_calls() {
    for (int i = 0; i < takers; ++i) {
      daemon& d = this->daemons[static_cast<std::size_t>(i)];
      while (this->awake(d) && this->pick(3) != 0 && d.book->take({subject})) {
        this->served = true;
        this->calls.push_back(
            {i, d.incarnation,
             this->time.now() + millis{this->pick(static_cast<int>(longest_call.value))}});
      }
    }
  }

  // A call ends at the runner also if its daemon is gone or asleep.
  void end_calls() {
    std::erase_if(this->calls, [&](const running_call& c) {
      if (c.ends > this->time.now()) {
        return false;
      }
      daemon& d = this->daemons[static_cast<std::size_t>(c.daemon)];
      if (d.incarnation == c.incarnation) {
        d.book->release({subject});
      }
      return true;
    });
  }

  std::mt19937 random;
  fake_clock time;
  std::array<daemon, takers> daemons;
  std::unique_ptr<slot_ledger> ledger;
  std::int64_t placer = 0;
  std::vector<mail> mails;
  std::vector<running_call> calls;
};

}  // namespace

TEST_CASE("no runner gets more calls than slots, whoever pauses, dies or takes over") {
  int served = 0;
  for (unsigned seed = 0; seed < seeds; ++seed) {
    INFO("seed " << seed);
    schedule s(seed);
    REQUIRE(s.run() <= total);
    served += s.served ? 1 : 0;
  }
  CHECK(served > static_cast<int>(seeds) / 2);
}

TEST_CASE("slots are divided evenly, and a new daemon gets its part once others gave it up") {
  fake_clock time;
  slot_ledger ledger({}, {1}, longest_call, time.now(), true);
  slot_book a(time, 1);
  slot_book b(time, 1);
  const auto taker = [&](const char* name, const slot_book& book) {
    return slot_taker{daemon_id(name), 1,          time.now().value, book.newest_placer(),
                      book.newest(),   book.held()};
  };
  a.adopt(ledger.plan({{subject, total}}, {taker("a", a)}, time.now())[0]);
  CHECK(a.free(subject) == total);
  for (int i = 0; i < 3; ++i) {
    time.advance({500});
    const auto grants = ledger.plan({{subject, total}}, {taker("a", a), taker("b", b)}, time.now());
    a.adopt(grants[0]);
    b.adopt(grants[1]);
  }
  CHECK(a.free(subject) == total / 2);
  CHECK(b.free(subject) == total / 2);
  time.advance({6'000});
  CHECK(a.free(subject) == 0);
}

}  // namespace monsoonmux
