#pragma once

#include <string>

#include "base/failure.h"

namespace monsoonmux {

// Runs one scripted scenario on a fake cell with a seed; docs/PROOF.md has the
// vocabulary. Returns an empty text if everything that the scenario expects
// holds and no promise is broken, else what is wrong. Fails with bad_request,
// naming the line, if the script is not understood.
result<std::string> run_scenario(const std::string& yaml_text, unsigned seed);

}  // namespace monsoonmux
