#pragma once

#include <cstdint>

#include "base/clock.h"

namespace monsoonmux::cell {

// Whether a run gets on, by the progress in percent that its runner reports: from the first change
// on, for as long as no pause between two changes is long for a run of its age.
class run_progress {
 public:
  // Notes what a report shows. Returns true if gets_on() has changed.
  bool note(std::int32_t percent, instant now);
  bool gets_on() const { return this->moves; }

 private:
  instant first_seen = never;
  instant changed_at = never;
  std::int32_t percent = 0;
  bool moves = false;
};

}  // namespace monsoonmux::cell
