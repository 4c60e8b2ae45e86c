#include "cell/sender_clock.h"

#include "cell/clock_drift.h"

namespace monsoonmux::cell {
namespace {

// Both clocks are read in whole milliseconds.
constexpr millis resolution{1};

}  // namespace

void sender_clock::add(std::uint64_t sender, std::int64_t sent_ms, instant read) {
  const bool same_sender = this->best && this->best->sender == sender;
  if (!same_sender || read <= latest_by(*this->best, sent_ms)) {
    this->best = sample{sender, sent_ms, read};
  }
}

std::optional<instant> sender_clock::latest(std::int64_t sent_ms) const {
  return this->best ? std::optional(latest_by(*this->best, sent_ms)) : std::nullopt;
}

instant sender_clock::latest_by(const sample& known, std::int64_t sent_ms) {
  if (sent_ms <= known.sent_ms) {
    return known.read;
  }
  return known.read + longest_real_time(millis{sent_ms - known.sent_ms}) + resolution;
}

}  // namespace monsoonmux::cell
