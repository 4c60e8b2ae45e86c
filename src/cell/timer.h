#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "base/quantity.h"

namespace monsoonmux::cell {

// Calls a function once after a delay. A new start replaces the one before it;
// destruction cancels it.
class timer {
 public:
  explicit timer(asio::io_context& io) : inner(io) {}
  ~timer() { ++*this->generation; }
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;

  void start(millis delay, std::function<void()> action) {
    const std::uint64_t mine = ++*this->generation;
    this->running = true;
    this->inner.expires_after(std::chrono::milliseconds(delay.value));
    // The handler may be queued already when the timer is started again or ends.
    this->inner.async_wait([this, mine, current = this->generation,
                            action = std::move(action)](asio::error_code error) {
      if (!error && *current == mine) {
        this->running = false;
        action();
      }
    });
  }
  void cancel() {
    ++*this->generation;
    this->running = false;
    this->inner.cancel();
  }
  bool pending() const { return this->running; }

 private:
  asio::steady_timer inner;
  std::shared_ptr<std::uint64_t> generation = std::make_shared<std::uint64_t>(0);
  bool running = false;
};

}  // namespace monsoonmux::cell
