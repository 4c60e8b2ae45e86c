#pragma once

#include <cstddef>
#include <cstdint>

namespace monsoonmux::cell {

// How far a task is kept from others, by the number of runners that crashed under it. It may
// be the cause of the crashes, or have run beside the cause.
enum class isolation : std::uint8_t {
  none,
  apart,  // No other task that is to be kept apart may be on its runner.
  alone,  // Nothing may be on its runner but other members of its gang.
};
constexpr std::size_t isolation_degrees = 3;

// A task may be started five times if each start crashes its runner: twice like any other,
// once apart from other suspects, twice alone.
constexpr std::int32_t crashes_until_apart = 2;
constexpr std::int32_t crashes_until_alone = 3;
// A task is given up when so many runners have crashed under it, the last one while nothing
// else was on it.
constexpr std::int32_t max_crashes_if_alone = 4;
// A task is given up in any case when so many runners have crashed under it.
constexpr std::int32_t max_crashes = 5;

constexpr isolation isolation_after(std::int32_t crashes) {
  if (crashes >= crashes_until_alone) {
    return isolation::alone;
  }
  return crashes >= crashes_until_apart ? isolation::apart : isolation::none;
}

// True if a task under which so many runners have crashed is given up. `was_alone`: nothing else
// was on the last of them.
constexpr bool ends_by_crashes(std::int32_t crashes, bool was_alone) {
  return crashes >= (was_alone ? max_crashes_if_alone : max_crashes);
}

}  // namespace monsoonmux::cell
