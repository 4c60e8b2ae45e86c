#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>

#include "base/clock.h"

namespace monsoonmux {

// A discrete-event simulation: runs actions at their time on a fake clock, generates
// seeded random delays, and keeps the network partitions.
class fake_world {
 public:
  explicit fake_world(unsigned seed) : random(seed) {}

  fake_clock time;

  void at(instant when, std::function<void()> action) {
    this->queue.emplace(std::make_pair(when, this->next++), std::move(action));
  }
  void after(millis delay, std::function<void()> action) {
    this->at(this->time.now() + delay, std::move(action));
  }
  void run_until(instant end) {
    while (!this->queue.empty() && this->queue.begin()->first.first <= end) {
      const auto first = this->queue.begin();
      const auto action = std::move(first->second);
      this->time.set(std::max(this->time.now(), first->first.first));
      this->queue.erase(first);
      action();
    }
    this->time.set(end);
  }

  int pick(int n) { return static_cast<int>(this->random() % static_cast<unsigned>(n)); }
  bool chance(int percent) { return this->pick(100) < percent; }
  // Returns a message delay: below 4 ms, but up to 1.5 s for one message in fifty.
  millis delay() { return this->pick(50) == 0 ? millis{this->pick(1'500)} : millis{this->pick(4)}; }

  // A party is a daemon, a worker or the log. Messages between `a` and `b` are lost
  // until heal().
  void disconnect(const std::string& a, const std::string& b) { this->disconnected.insert({a, b}); }
  void heal() { this->disconnected.clear(); }
  bool connected(const std::string& a, const std::string& b) const {
    return this->disconnected.count({a, b}) == 0 && this->disconnected.count({b, a}) == 0;
  }

  int loss_percent = 0;

 private:
  std::mt19937 random;
  std::multimap<std::pair<instant, std::int64_t>, std::function<void()>> queue;
  std::int64_t next = 0;
  std::set<std::pair<std::string, std::string>> disconnected;
};

}  // namespace monsoonmux
