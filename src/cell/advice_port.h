#pragma once

#include <string>
#include <vector>

#include "base/failure.h"
#include "decide/advice_cache.h"

namespace monsoonmux::cell {

// The service that knows which runners may run a step.
class advice_port {
 public:
  virtual ~advice_port() = default;
  virtual void advise(const std::string& step, const std::vector<std::string>& runners,
                      millis timeout, reply<std::vector<ticket>> on_answer) = 0;
};

}  // namespace monsoonmux::cell
