#pragma once

#include <asio/io_context.hpp>

#include "cell/event_loop.h"

namespace monsoonmux::cell {

// The event loop of a process, on asio.
class asio_loop final : public event_loop {
 public:
  explicit asio_loop(asio::io_context& io) : io(io) {}
  void after(millis delay, std::function<void()> action) override;

 private:
  asio::io_context& io;
};

}  // namespace monsoonmux::cell
