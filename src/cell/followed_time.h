#pragma once

#include <algorithm>

#include "base/clock.h"

namespace monsoonmux::cell {

// A time in which all changes of a topic were seen. It ends with the last answer, since nobody
// knows what has changed after that.
struct followed_time {
  instant since = never;
  instant until = never;

  millis length() const { return this->until - this->since; }
  // What of it comes after `begin`.
  millis length_since(instant begin) const {
    return std::max(millis{0}, this->until - std::max(this->since, begin));
  }
};

}  // namespace monsoonmux::cell
