#pragma once

#include <algorithm>

#include "base/quantity.h"

namespace monsoonmux {

// Amounts of the three resources that a worker provides and a task requests.
struct resources {
  millicores cpu;
  mebibytes memory;
  devices accelerators;

  bool operator==(const resources&) const = default;

  // True if every component of this amount is at most that of `capacity`.
  bool fits(const resources& capacity) const {
    return this->cpu <= capacity.cpu && this->memory <= capacity.memory &&
           this->accelerators <= capacity.accelerators;
  }
  bool negative() const {
    return this->cpu.value < 0 || this->memory.value < 0 || this->accelerators.value < 0;
  }
  bool zero() const { return *this == resources{}; }

  resources& operator+=(const resources& other) {
    this->cpu += other.cpu;
    this->memory += other.memory;
    this->accelerators += other.accelerators;
    return *this;
  }
  resources& operator-=(const resources& other) {
    this->cpu -= other.cpu;
    this->memory -= other.memory;
    this->accelerators -= other.accelerators;
    return *this;
  }
  friend resources operator+(resources a, const resources& b) { return a += b; }
  friend resources operator-(resources a, const resources& b) { return a -= b; }
  friend resources operator*(resources a, std::int64_t n) {
    return {a.cpu * n, a.memory * n, a.accelerators * n};
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->cpu, this->memory, this->accelerators);
  }
};

// The largest share that `used` has of any component of `total` (dominant resource
// fairness); 0 if `total` is zero.
inline double dominant_share(const resources& used, const resources& total) {
  const auto share = [](std::int64_t u, std::int64_t t) {
    return t > 0 ? static_cast<double>(u) / static_cast<double>(t) : 0.0;
  };
  return std::max({share(used.cpu.value, total.cpu.value),
                   share(used.memory.value, total.memory.value),
                   share(used.accelerators.value, total.accelerators.value)});
}

}  // namespace monsoonmux
