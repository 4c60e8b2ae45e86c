#pragma once

#include <compare>
#include <cstdint>

namespace monsoonmux {

// A signed 64-bit amount of one unit. The tag keeps amounts of different units
// apart at compile time; arithmetic stays within one unit.
//
//   struct seconds_tag {};
//   using seconds = quantity<seconds_tag>;
template <class Tag>
struct quantity {
  std::int64_t value = 0;

  constexpr auto operator<=>(const quantity&) const = default;

  constexpr quantity& operator+=(quantity other) {
    this->value += other.value;
    return *this;
  }
  constexpr quantity& operator-=(quantity other) {
    this->value -= other.value;
    return *this;
  }
  friend constexpr quantity operator+(quantity a, quantity b) { return {a.value + b.value}; }
  friend constexpr quantity operator-(quantity a, quantity b) { return {a.value - b.value}; }
  friend constexpr quantity operator*(quantity a, std::int64_t n) { return {a.value * n}; }
  friend constexpr quantity operator/(quantity a, std::int64_t n) { return {a.value / n}; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->value);
  }
};

struct millis_tag {};
struct millicores_tag {};
struct mebibytes_tag {};
struct devices_tag {};
struct epoch_tag {};
struct fencing_token_tag {};
struct offset_tag {};
struct version_tag {};

// A span of time in milliseconds.
using millis = quantity<millis_tag>;
// A thousandth of a processor core.
using millicores = quantity<millicores_tag>;
// Memory in units of 2^20 bytes.
using mebibytes = quantity<mebibytes_tag>;
// Whole accelerators.
using devices = quantity<devices_tag>;
// Number of the term of a leader or of a placement lease; each later holder has a larger one.
using epoch = quantity<epoch_tag>;
// What a command to a runner carries; a runner does nothing for a lower one than it has seen.
using fencing_token = quantity<fencing_token_tag>;
// Position in the platform's log; the first record has offset 0.
using log_offset = quantity<offset_tag>;
// Version of the configuration; the empty configuration has version 0.
using config_version = quantity<version_tag>;

}  // namespace monsoonmux
