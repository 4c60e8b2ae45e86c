#pragma once

#include <algorithm>

#include "base/quantity.h"

namespace monsoonmux {

// An amount of the three resources that a worker has and a task asks for.
struct resources {
  millicores cpu;
  mebibytes memory;
  devices accelerators;

  bool operator==(const resources&) const = default;

  // True if every component of this amount is at most that of `room`.
  bool fits(const resources& room) const {
    return this->cpu <= room.cpu && this->memory <= room.memory &&
           this->accelerators <= room.accelerators;
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

// The largest fraction that `used` takes of any component of `total`;
// 0 when `total` is empty.
inline double dominant_share(const resources& used, const resources& total) {
  const auto part = [](std::int64_t u, std::int64_t t) {
    return t > 0 ? static_cast<double>(u) / static_cast<double>(t) : 0.0;
  };
  return std::max({part(used.cpu.value, total.cpu.value),
                   part(used.memory.value, total.memory.value),
                   part(used.accelerators.value, total.accelerators.value)});
}

}  // namespace monsoonmux
