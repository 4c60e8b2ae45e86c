#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "base/failure.h"
#include "base/ids.h"
#include "model/cell_record.h"

namespace monsoonmux::cell {

// Answers questions about jobs that this daemon's own table cannot answer.
class state_source {
 public:
  virtual ~state_source() = default;
  // Empty if there is no such job. May fail with unavailable.
  virtual void phase(const job_id& job, instant deadline,
                     reply<std::optional<job_phase>> on_answer) = 0;
  // The number of accepted jobs of the queue that have not begun. May fail with
  // unavailable.
  virtual void pending(const queue_id& queue, instant deadline, reply<std::int64_t> on_answer) = 0;
};

}  // namespace monsoonmux::cell
