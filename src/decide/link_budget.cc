#include "decide/link_budget.h"

#include <algorithm>
#include <cmath>

namespace monsoonmux::cell {

link_budget::link_budget(double bytes_per_second, millis burst)
    : bytes_per_ms(bytes_per_second / 1'000),
      burst_bytes(bytes_per_second / 1'000 * static_cast<double>(burst.value)) {}

double link_budget::level_at(instant now) const {
  const double drained = static_cast<double>((now - this->updated).value) * this->bytes_per_ms;
  return std::max(0.0, this->level - drained);
}

millis link_budget::delay(instant now) const {
  const double excess = this->level_at(now) - this->burst_bytes;
  if (excess <= 0) {
    return millis{0};
  }
  return millis{static_cast<std::int64_t>(std::ceil(excess / this->bytes_per_ms))};
}

std::int64_t link_budget::available(instant now, millis time) const {
  const double sent_meanwhile = static_cast<double>(time.value) * this->bytes_per_ms;
  return static_cast<std::int64_t>(sent_meanwhile + this->burst_bytes - this->level_at(now));
}

void link_budget::spend(std::size_t bytes, instant now) {
  this->level = this->level_at(now) + static_cast<double>(bytes);
  this->updated = now;
}

}  // namespace monsoonmux::cell
