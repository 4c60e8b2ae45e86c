#include "cell/runner_clock.h"

#include <algorithm>

#include "cell/clock_drift.h"

namespace monsoonmux::cell {
namespace {

// Readings are in whole milliseconds.
constexpr millis resolution{1};

}  // namespace

void runner_clock::begin(const clock_reading& first) {
  this->known = true;
  this->assumed.reset();
  this->lower = {first.clock_ms, first.received};
  this->anchor = {first.clock_ms, first.sent};
  this->alive = first.sent;
}

void runner_clock::confirm(const clock_reading& reading) {
  if (!this->known) {
    this->begin(reading);
    return;
  }
  this->assumed.reset();
  this->raise_bound(reading);
}

void runner_clock::raise_bound(const clock_reading& reading) {
  if (reading.clock_ms > advance(this->lower, reading.received)) {
    this->lower = {reading.clock_ms, reading.received};
  }
  const millis since_anchor =
      shortest_time_by_fast_clock(millis{reading.clock_ms - this->anchor.clock_ms}) - resolution;
  if (reading.sent >= this->anchor.at + since_anchor) {
    this->anchor = {reading.clock_ms, reading.sent};
    this->alive = std::max(this->alive, reading.sent);
    return;
  }
  this->alive = std::max(this->alive, this->anchor.at + since_anchor);
}

same_incarnation runner_clock::compare(const clock_reading& reading) {
  if (!this->known) {
    this->assume(reading.clock_ms, reading.received);
    return same_incarnation::unknown;
  }
  // The clock of an incarnation that began after `alive` cannot show more than this.
  const millis newest = longest_time_by_fast_clock(reading.received - this->alive) + resolution;
  if (reading.clock_ms > newest.value) {
    this->raise_bound(reading);
    return same_incarnation::yes;
  }
  this->assume(reading.clock_ms, reading.received);
  const bool went_back = reading.clock_ms < advance(this->lower, reading.sent) - resolution.value;
  return went_back ? same_incarnation::no : same_incarnation::unknown;
}

void runner_clock::assume(std::int64_t clock_ms, instant now) {
  if (!this->assumed || clock_ms < advance(*this->assumed, now)) {
    this->assumed = bound{clock_ms, now};
  }
}

std::int64_t runner_clock::advance(const bound& from, instant when) {
  const millis since = when - from.at;
  return from.clock_ms +
         (since >= millis{0} ? shortest_runner_time(since) : longest_time_by_fast_clock(since))
             .value;
}

std::int64_t runner_clock::at_least(instant when) const {
  if (!this->known) {
    return this->assumed ? advance(*this->assumed, when) : 0;
  }
  const std::int64_t present = advance(this->lower, when);
  return this->assumed ? std::min(present, advance(*this->assumed, when)) : present;
}

}  // namespace monsoonmux::cell
