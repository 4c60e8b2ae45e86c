#pragma once

#include <string>
#include <vector>

#include "base/quantity.h"
#include "history/history_event.h"

namespace monsoonmux {

// A promise of the brief that a history can break.
enum class guarantee {
  no_overcommit,
  one_place,
  upper_limit,
  withdrawn_key,
  own_answer,
  not_run_is_true,
  at_most_once,
  leaving_runner,
  no_request_cut,
  config_monotonic,
  config_in_force,
  nothing_lost,
  finished_once,
};

std::string_view to_string(guarantee value);

struct violation {
  guarantee violated = guarantee::no_overcommit;
  std::int64_t at_ms = 0;
  std::string detail;
};

// Bounds that the promises name, from the users' targets.
struct checker_options {
  millis key_bound{3'000};      // A withdrawn key stops working within this.
  millis leaving_bound{3'000};  // A leaving runner gets nothing after this.
  millis config_bound{16'000};  // A version is in force everywhere within this.
  millis limit_bound{16'000};   // A lowered limit holds within this.
  bool complete = true;         // The run was given time to finish all work.
};

// Checks a history, sorted by time, against every promise. It knows nothing of
// the scheduler: only what workers, runners, callers and operators saw.
std::vector<violation> check_history(const history& events, const checker_options& options);

}  // namespace monsoonmux
