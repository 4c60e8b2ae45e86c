#pragma once

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace monsoonmux::cell {

// Spreads messages that may wait over a share of the host's link, so that those that may not
// wait (heartbeats, claim renewals, advice queries) do not queue behind them in the network.
//
// A leaky bucket: what is spent drains at a constant rate, and the next message may be sent
// while at most `burst` worth of it is left. A message larger than the burst is sent whole.
class link_budget {
 public:
  link_budget(double bytes_per_second, millis burst);

  // How long to wait before the next message; 0 if it may be sent now.
  millis delay(instant now) const;
  // Bytes that may be spent so that all of them are sent within `time`; not positive if
  // what was spent before takes longer.
  std::int64_t available(instant now, millis time) const;
  void spend(std::size_t bytes, instant now);

 private:
  double level_at(instant now) const;

  const double bytes_per_ms;
  const double burst_bytes;
  double level = 0;  // Bytes not yet drained at `updated`.
  instant updated{0};
};

}  // namespace monsoonmux::cell
