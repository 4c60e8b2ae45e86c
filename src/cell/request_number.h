#pragma once

#include <cstdint>
#include <random>

namespace monsoonmux::cell {

// The first of the numbers that tell a daemon's open requests to its peers apart;
// the others follow it. No two lives use the same ones, so that an answer to a
// former life, which may still be under way, is taken for nothing else.
inline std::int64_t first_request_number() {
  constexpr unsigned bits_for_counting = 32;
  std::random_device source;
  return static_cast<std::int64_t>(source() >> 1U) << bits_for_counting;
}

}  // namespace monsoonmux::cell
