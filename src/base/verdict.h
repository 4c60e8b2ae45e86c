#pragma once

#include <string_view>

namespace monsoonmux {

// What is known about whether a request had an effect.
enum class verdict {
  not_run,       // The request had no effect and never will.
  may_have_run,  // The request had, may have had, or may still have an effect.
  answered,      // The complete answer was received.
};

// "not_run", "may_have_run" or "answered": the wire form of the header
// X-Monsoonmux-Verdict and of the JSON member "verdict".
std::string_view to_string(verdict value);

}  // namespace monsoonmux
