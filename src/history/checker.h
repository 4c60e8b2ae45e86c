#pragma once

#include <string>
#include <vector>

#include "base/quantity.h"
#include "history/history_event.h"

namespace monsoonmux {

// A guarantee of the scheduler that a history can violate.
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

// The time bounds of the guarantees, from the service targets of the users.
struct checker_options {
  millis key_bound{3'000};      // A withdrawn key is rejected after this time.
  millis leaving_bound{3'000};  // A leaving runner gets no calls after this time.
  millis config_bound{16'000};  // A version is in force on every daemon within this time.
  millis limit_bound{16'000};   // A lowered limit is enforced within this time.
  bool complete = true;         // The history extends until all work had time to finish.
};

// Checks a history against every guarantee, in order of time. The check does not use the state of
// the scheduler, only what workers, runners, callers and operators observed.
std::vector<violation> check_history(const history& events, const checker_options& options);

}  // namespace monsoonmux
