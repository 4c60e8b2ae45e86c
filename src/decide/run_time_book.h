#pragma once

#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "base/quantity.h"

namespace monsoonmux::cell {

// How long tasks of a queue really take. What submitters declare is far off, so
// the mean of what was seen is used as soon as there is any.
class run_time_book {
 public:
  void note(const queue_id& queue, millis taken);
  // Mean of the queue's tasks; `declared` while none has ended.
  millis expected(const queue_id& queue, millis declared) const;

 private:
  std::unordered_map<queue_id, double> mean_ms;
};

}  // namespace monsoonmux::cell
