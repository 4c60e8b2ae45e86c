#pragma once

#include <functional>
#include <string>

#include "base/failure.h"
#include "model/cell_config.h"
#include "model/runner_entry.h"

namespace monsoonmux::cell {

// Decodes the configuration and the runner entries that operators and runners keep in the
// log.
class cell_sources {
 public:
  virtual ~cell_sources() = default;
  // The topics to follow, and the key of the configuration record in its topic.
  virtual std::string config_topic() const = 0;
  virtual std::string config_key() const = 0;
  virtual std::string runner_topic() const = 0;
  virtual result<cell_config> read_config(const std::string& value) const = 0;
  virtual result<runner_entry> read_runner(const std::string& id,
                                           const std::string& value) const = 0;
};

}  // namespace monsoonmux::cell
