#pragma once

#include <atomic>
#include <cstdint>

namespace monsoonmux {

// Counts events so that an effect always has a larger number than its cause,
// also across processes: messages carry the sender's number. Thread-safe.
class logical_clock {
 public:
  std::int64_t next() { return ++this->value; }
  // Takes note of a number that came with a message.
  void observe(std::int64_t received) {
    std::int64_t known = this->value;
    while (known < received && !this->value.compare_exchange_weak(known, received)) {
    }
  }

 private:
  std::atomic<std::int64_t> value{0};
};

}  // namespace monsoonmux
