#pragma once

#include <functional>

#include "base/quantity.h"

namespace monsoonmux::cell {

// Where a daemon's parts run: one after the other, never at the same time. Tests
// put one with a clock of its own in the place of the real one.
class event_loop {
 public:
  virtual ~event_loop() = default;
  // Calls `action` once, after the delay.
  virtual void after(millis delay, std::function<void()> action) = 0;
  // Calls `action` once, after what runs now.
  void post(std::function<void()> action) { this->after(millis{0}, std::move(action)); }
};

}  // namespace monsoonmux::cell
