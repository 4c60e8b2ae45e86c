#pragma once

#include <atomic>
#include <cstdint>

namespace monsoonmux {

// A Lamport clock: numbers events so that an effect always has a larger number than
// its cause, also across processes, since each message carries its sender's number.
// Thread-safe.
class logical_clock {
 public:
  std::int64_t next() { return ++this->value; }
  // Raises the clock to the number in a received message.
  void observe(std::int64_t received) {
    std::int64_t known = this->value;
    while (known < received && !this->value.compare_exchange_weak(known, received)) {
    }
  }

 private:
  std::atomic<std::int64_t> value{0};
};

}  // namespace monsoonmux
