#pragma once

#include <memory>
#include <string>

#include "config/document.h"
#include "config/key_ring.h"

namespace monsoonmux {

// One version of the configuration. Immutable, so threads share it without locks.
struct config_view {
  config_version version;
  std::string text;
  document doc;
  key_ring keys{document{}};
};

using config_ptr = std::shared_ptr<const config_view>;

// An accepted change of the configuration, as shown in the history for operators.
struct config_change {
  config_version version;
  std::string author;
  std::string patch;
  std::int64_t wall_ms = 0;  // Unix time.
};

}  // namespace monsoonmux
