#include "cell/asio_loop.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>

namespace monsoonmux::cell {

void asio_loop::after(millis delay, std::function<void()> action) {
  if (delay.value <= 0) {
    asio::post(this->io, std::move(action));
    return;
  }
  auto timer =
      std::make_unique<asio::steady_timer>(this->io, std::chrono::milliseconds(delay.value));
  asio::steady_timer& waiting = *timer;
  waiting.async_wait(
      [timer = std::move(timer), action = std::move(action)](const asio::error_code& error) {
        if (!error) {
          action();
        }
      });
}

}  // namespace monsoonmux::cell
