#pragma once

#include <unordered_map>

#include "decide/advice_book.h"
#include "decide/live_job.h"
#include "decide/run_time_book.h"
#include "decide/runner_book.h"
#include "decide/tenant_ledger.h"
#include "model/cell_config.h"

namespace monsoonmux::cell {

// All that an owner decides from.
struct cell_state {
  cell_config config;
  std::unordered_map<job_id, live_job> jobs;
  runner_book runners;
  tenant_ledger tenants;
  advice_book advice;
  run_time_book run_times;
};

}  // namespace monsoonmux::cell
