#include "decide/run_time_book.h"

#include <cmath>

namespace monsoonmux::cell {
namespace {

// Weight of the newest sample: about the last 20 count.
constexpr double newest_weight = 0.05;

}  // namespace

void run_time_book::note(const queue_id& queue, millis taken) {
  const auto [it, is_first] = this->mean_ms.emplace(queue, static_cast<double>(taken.value));
  if (!is_first) {
    it->second += newest_weight * (static_cast<double>(taken.value) - it->second);
  }
}

millis run_time_book::expected(const queue_id& queue, millis declared) const {
  const auto it = this->mean_ms.find(queue);
  return it == this->mean_ms.end() ? declared : millis{std::llround(it->second)};
}

}  // namespace monsoonmux::cell
