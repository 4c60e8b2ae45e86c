#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/clock.h"
#include "cell/event_loop.h"

namespace monsoonmux::cell {

// An event loop with a simulated clock, which advances only when run_for() runs events.
class fake_loop final : public event_loop, public clock {
 public:
  void after(millis delay, std::function<void()> action) override {
    this->events.emplace(std::pair{this->time + delay, this->next++}, std::move(action));
  }
  instant now() const override { return this->time; }
  std::int64_t wall_ms() const override { return this->time.value; }

  void run_for(millis duration) {
    const instant end = this->time + duration;
    while (!this->events.empty() && this->events.begin()->first.first <= end) {
      auto event = this->events.extract(this->events.begin());
      this->time = std::max(this->time, event.key().first);
      event.mapped()();
    }
    this->time = end;
  }

 private:
  instant time{1'000'000};
  std::uint64_t next = 0;
  std::map<std::pair<instant, std::uint64_t>, std::function<void()>> events;
};

// A clock that counts how often it is read.
class counting_clock final : public clock {
 public:
  explicit counting_clock(const clock& time) : time(time) {}

  instant now() const override {
    ++this->reads;
    return this->time.now();
  }
  std::int64_t wall_ms() const override { return this->time.wall_ms(); }

  mutable std::int64_t reads = 0;  // Number of calls of now().

 private:
  const clock& time;
};

// The event loop of one process. Its events run in the shared loop until the process is
// killed; while the process is frozen, they are delayed.
class fake_process final : public event_loop {
 public:
  explicit fake_process(fake_loop& loop) : loop(loop) {}

  void after(millis delay, std::function<void()> action) override {
    this->loop.after(delay, [this, incarnation = this->incarnation, action = std::move(action)] {
      this->run(incarnation, action);
    });
  }
  // Pending events of the current incarnation never run.
  void kill() { ++this->incarnation; }
  void freeze_until(instant end) { this->frozen_until = end; }
  instant frozen_end() const { return this->frozen_until; }
  std::uint64_t current_incarnation() const { return this->incarnation; }

 private:
  void run(std::uint64_t event_incarnation, const std::function<void()>& action) {
    if (event_incarnation != this->incarnation) {
      return;
    }
    if (this->loop.now() < this->frozen_until) {
      this->loop.after(this->frozen_until - this->loop.now(),
                       [this, event_incarnation, action] { this->run(event_incarnation, action); });
      return;
    }
    action();
  }

  fake_loop& loop;
  std::uint64_t incarnation = 0;
  instant frozen_until{0};
};

}  // namespace monsoonmux::cell
