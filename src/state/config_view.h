#pragma once

#include <memory>
#include <string>

#include "config/document.h"
#include "config/key_ring.h"

namespace monsoonmux {

// One version of the configuration, immutable and shared between threads.
struct config_view {
  config_version version;
  std::string text;
  document doc;
  key_ring keys{document{}};
};

using config_ptr = std::shared_ptr<const config_view>;

// An accepted change, for the operators' history.
struct config_change {
  config_version version;
  std::string author;
  std::string patch;
  std::int64_t wall_ms = 0;  // Unix time.
};

}  // namespace monsoonmux
