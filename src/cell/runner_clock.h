#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace monsoonmux::cell {

// A reading of a runner's clock in an answer.
struct clock_reading {
  std::int64_t clock_ms = 0;
  instant sent;      // When we sent the request.
  instant received;  // When we handled the answer.
};

// What a reading says about the incarnation of its runner.
enum class same_incarnation { yes, unknown, no };

// Estimates the clock of one incarnation of a runner, and until when that incarnation is
// known to have run. A runner's clock begins at 0 with its incarnation; it may be 2% slow,
// but is hardly ever fast.
//
// An answer may have been delayed, or handled late because this process was frozen. How old
// it is follows from the runner's clock: between two readings at least as much real time
// has passed as their difference.
class runner_clock {
 public:
  // The first reading of an incarnation.
  void begin(const clock_reading& first);
  // A reading that is known to be of the present incarnation.
  void confirm(const clock_reading& reading);
  // A reading that may be of another incarnation. It counts only if it is proven not to be.
  same_incarnation compare(const clock_reading& reading);
  // A reading that may be of another incarnation and of any age.
  void assume(std::int64_t clock_ms, instant now);

  // A lower bound of the clock at a time, for each incarnation of which a reading is known.
  std::int64_t at_least(instant when) const;
  // The present incarnation was running at this time or later.
  instant alive_at() const { return this->alive; }

 private:
  struct bound {
    std::int64_t clock_ms = 0;
    instant at;
  };
  static std::int64_t advance(const bound& from, instant when);
  void raise_bound(const clock_reading& reading);

  bool known = false;  // A reading of the present incarnation is known.
  bound lower;         // At this time the clock showed at least this.
  std::optional<bound> assumed;
  bound anchor;  // The clock showed this not before this time.
  instant alive{0};
};

}  // namespace monsoonmux::cell
