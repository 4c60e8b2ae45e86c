#pragma once

#include "control/worker_health.h"
#include "control/worker_links.h"
#include "place/scheduler.h"
#include "right/right_lease.h"

namespace monsoonmux {

struct placer_options {
  right_options right;
  link_options links;
  scheduler_options schedule;
  health_options health;
  millis flush_interval{200};             // Between two records of task ends.
  millis initial_restart_backoff{1'000};  // Delay before a service task restarts,
  millis max_restart_backoff{60'000};     // doubled up to this.
  millis unsatisfiable_after{30'000};     // A job that fits nowhere is told so.
  millis stop_retry_interval{1'000};      // Between two stops of the same task.
};

}  // namespace monsoonmux
