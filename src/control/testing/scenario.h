#pragma once

#include <string>

#include "base/failure.h"

namespace monsoonmux {

// Runs one scripted scenario on a simulated cell with the given seed. docs/PROOF.md
// describes the script's keys. Returns an empty text if all expectations of the
// scenario hold and the history shows no violation, otherwise a description of the
// errors. Fails with bad_request, naming the line, if the script is invalid.
result<std::string> run_scenario(const std::string& yaml_text, unsigned seed);

}  // namespace monsoonmux
