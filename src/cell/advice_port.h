#pragma once

#include <string>
#include <vector>

#include "base/failure.h"
#include "decide/advice_cache.h"

namespace monsoonmux::cell {

// The advice service, which decides which runners may run a step and issues a ticket for
// each of them.
class advice_port {
 public:
  virtual ~advice_port() = default;
  virtual void advise(const std::string& step, const std::vector<std::string>& runners,
                      millis timeout, reply<std::vector<ticket>> on_answer) = 0;
};

}  // namespace monsoonmux::cell
