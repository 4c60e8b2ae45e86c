#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "cell/event_loop.h"

namespace monsoonmux::cell {

// Calls a function once after a delay. A new start replaces a pending one, and destroying
// the timer cancels it.
class timer {
 public:
  explicit timer(event_loop& loop) : loop(loop) {}
  ~timer() { ++*this->generation; }
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;

  void start(millis delay, std::function<void()> action) {
    const std::uint64_t own_generation = ++*this->generation;
    this->running = true;
    this->loop.after(
        delay, [this, own_generation, current = this->generation, action = std::move(action)] {
          if (*current == own_generation) {
            this->running = false;
            action();
          }
        });
  }
  void cancel() {
    ++*this->generation;
    this->running = false;
  }
  bool pending() const { return this->running; }

 private:
  event_loop& loop;
  std::shared_ptr<std::uint64_t> generation = std::make_shared<std::uint64_t>(0);
  bool running = false;
};

}  // namespace monsoonmux::cell
