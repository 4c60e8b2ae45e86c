#pragma once

#include <functional>
#include <string>

#include "base/failure.h"
#include "model/cell_config.h"
#include "model/runner_entry.h"

namespace monsoonmux::cell {

// Turns what operators and runners keep in the log into the product's types.
class cell_sources {
 public:
  virtual ~cell_sources() = default;
  // Topics to follow, and the key of the configuration in its topic.
  virtual std::string config_topic() const = 0;
  virtual std::string config_key() const = 0;
  virtual std::string runner_topic() const = 0;
  virtual result<cell_config> read_config(const std::string& value) const = 0;
  virtual result<runner_entry> read_runner(const std::string& id,
                                           const std::string& value) const = 0;
};

}  // namespace monsoonmux::cell
