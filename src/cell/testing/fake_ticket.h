#pragma once

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>

#include "base/clock.h"

namespace monsoonmux::cell {

// A ticket of the fake advice service: valid for all tasks of the step during this life of the
// runner, for a limited time.
struct fake_ticket {
  std::string step;
  std::string runner;
  std::int64_t incarnation = 0;
  instant issued{0};

  std::string text() const {
    return this->step + " " + this->runner + " " + std::to_string(this->incarnation) + " " +
           std::to_string(this->issued.value);
  }
  static std::optional<fake_ticket> parse(const std::string& text) {
    std::istringstream in(text);
    fake_ticket out;
    in >> out.step >> out.runner >> out.incarnation >> out.issued.value;
    return in ? std::optional(out) : std::nullopt;
  }
};

}  // namespace monsoonmux::cell
