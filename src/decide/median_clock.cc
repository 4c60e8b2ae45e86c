#include "decide/median_clock.h"

#include <algorithm>
#include <vector>

namespace monsoonmux::cell {
namespace {

// The daemon of an older sample may have stopped, or its clock may have jumped since.
constexpr millis max_sample_age{3'000};

}  // namespace

void median_clock::add_sample(const std::string& daemon, std::int64_t wall_ms, instant now) {
  this->samples[daemon] = {wall_ms - now.value, now};
}

std::int64_t median_clock::at(instant now, std::int64_t own_wall_ms) const {
  std::vector<std::int64_t> offsets{own_wall_ms - now.value};
  for (const auto& [daemon, v] : this->samples) {
    if (now - v.received_at < max_sample_age) {
      offsets.push_back(v.offset_ms);
    }
  }
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return now.value + *middle;
}

}  // namespace monsoonmux::cell
