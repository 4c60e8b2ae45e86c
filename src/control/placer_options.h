#pragma once

#include "control/worker_health.h"
#include "control/worker_links.h"
#include "place/scheduler.h"
#include "right/placement_lease.h"

namespace monsoonmux {

struct placer_options {
  placement_lease_options domain_lease;
  link_options links;
  scheduler_options schedule;
  health_options health;
  // Between two records of task states, and from a stop command to the next sync.
  millis flush_interval{200};
  millis initial_restart_backoff{1'000};  // Delay before a service task restarts,
  millis max_restart_backoff{60'000};     // doubled up to this.
  millis unsatisfiable_after{30'000};     // Age at which a job that cannot fit is rejected.
  millis stop_retry_interval{1'000};      // Between two stop commands to the same task.
};

}  // namespace monsoonmux
