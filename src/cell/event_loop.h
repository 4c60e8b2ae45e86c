#pragma once

#include <functional>

#include "base/quantity.h"

namespace monsoonmux::cell {

// Runs the callbacks of all components of a daemon, one after the other and never
// concurrently. Tests replace it by a loop with a simulated clock.
class event_loop {
 public:
  virtual ~event_loop() = default;
  // Calls `action` once, after the delay.
  virtual void after(millis delay, std::function<void()> action) = 0;
  // Calls `action` once, after the current callback.
  void post(std::function<void()> action) { this->after(millis{0}, std::move(action)); }
};

}  // namespace monsoonmux::cell
