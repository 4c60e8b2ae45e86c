#pragma once

#include "control/health_book.h"
#include "control/worker_links.h"
#include "place/scheduler.h"
#include "right/right_lease.h"

namespace monsoonmux {

struct placer_options {
  right_options right;
  link_options links;
  scheduler_options schedule;
  health_options health;
  millis update_gap{200};         // Between two records of task ends.
  millis restart_first{1'000};    // Delay before a service task restarts,
  millis restart_most{60'000};    // doubled up to this.
  millis hopeless_after{30'000};  // A job that fits nowhere is told so.
  millis stop_repeat{1'000};      // Between two stops of the same task.
};

}  // namespace monsoonmux
