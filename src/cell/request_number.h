#pragma once

#include <cstdint>
#include <random>

namespace monsoonmux::cell {

// The first of the numbers that identify a daemon's open requests to its peers; the
// following requests count up from it. The start is random, so that two incarnations of
// a daemon do not use the same numbers: a late answer to a previous incarnation cannot be
// mistaken for the answer to a present request.
inline std::int64_t first_request_number() {
  constexpr unsigned bits_for_counting = 32;
  std::random_device source;
  return static_cast<std::int64_t>(source() >> 1U) << bits_for_counting;
}

}  // namespace monsoonmux::cell
