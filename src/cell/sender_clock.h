#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace monsoonmux::cell {

// Bounds from above when another process did something, by the time that it read on its own
// monotonic clock then. Both clocks may differ in rate as much as a runner's and ours.
class sender_clock {
 public:
  // A message that the process `sender` sent at `sent_ms` on its clock was read at `read`.
  void add(std::uint64_t sender, std::int64_t sent_ms, instant read);
  // No later than this the clock of the last sender showed `sent_ms`; empty if there was no
  // sender.
  std::optional<instant> latest(std::int64_t sent_ms) const;

 private:
  struct sample {
    std::uint64_t sender = 0;
    std::int64_t sent_ms = 0;
    instant read;
  };
  static instant latest_by(const sample& known, std::int64_t sent_ms);

  std::optional<sample> best;  // The one that gives the earliest bound.
};

}  // namespace monsoonmux::cell
