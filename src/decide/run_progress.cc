#include "decide/run_progress.h"

#include <algorithm>

namespace monsoonmux::cell {
namespace {

// Reports of a runner are up to a second apart.
constexpr millis min_long_pause{2'000};
// A longer pause is long if it is more than this part of the run's age. A percent of a run that is
// overdue and still gets on takes a small part of its age.
constexpr std::int64_t pause_divisor = 4;

}  // namespace

bool run_progress::note(std::int32_t reported, instant now) {
  if (this->first_seen == never) {
    this->first_seen = now;
    this->changed_at = now;
    this->percent = reported;
    return false;
  }
  const bool changed = reported != this->percent;
  if (changed) {
    this->percent = reported;
    this->changed_at = now;
  }
  const millis long_pause = std::max(min_long_pause, (now - this->first_seen) / pause_divisor);
  const bool moved = this->moves;
  this->moves = changed || (moved && now - this->changed_at <= long_pause);
  return this->moves != moved;
}

}  // namespace monsoonmux::cell
