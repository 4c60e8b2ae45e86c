#pragma once

#include <compare>
#include <cstdint>

#include "base/quantity.h"

namespace monsoonmux {

// A point on a monotonic clock, in milliseconds since an arbitrary start.
// Instants of different processes cannot be compared.
struct instant {
  std::int64_t value = 0;

  constexpr auto operator<=>(const instant&) const = default;
  friend constexpr instant operator+(instant t, millis d) { return {t.value + d.value}; }
  friend constexpr instant operator-(instant t, millis d) { return {t.value - d.value}; }
  friend constexpr millis operator-(instant a, instant b) { return {a.value - b.value}; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->value);
  }
};

// An instant that no clock reaches.
constexpr instant never{INT64_MAX};

// The only source of time in the system. Leases are measured with now(), which
// also advances while the host is suspended; wall_ms() is for display and for
// key expiry.
class clock {
 public:
  virtual ~clock() = default;
  virtual instant now() const = 0;
  // Milliseconds since 1970-01-01 UTC.
  virtual std::int64_t wall_ms() const = 0;
};

// The host's clock. now() reads CLOCK_BOOTTIME, not CLOCK_MONOTONIC: a lease
// must also run out on a host that was suspended.
class system_clock final : public clock {
 public:
  instant now() const override;
  std::int64_t wall_ms() const override;
};

// A clock that moves only by advance() and set(), for deterministic tests.
class fake_clock final : public clock {
 public:
  instant now() const override { return this->current; }
  std::int64_t wall_ms() const override { return this->current.value; }
  void advance(millis step) { this->current = this->current + step; }
  void set(instant to) { this->current = to; }

 private:
  instant current{1'000'000};
};

}  // namespace monsoonmux
