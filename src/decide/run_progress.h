#pragma once

#include <cstdint>

#include "base/clock.h"

namespace monsoonmux::cell {

// Whether a run gets on, by the progress in percent that its runner reports. It does while no
// pause between two changes is long for a run of its age; the first change takes as long to show
// as later ones, so until then it is not known to.
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
