#pragma once

#include "base/clock.h"
#include "history/history_event.h"
#include "http/http_client.h"
#include "load/load_plan.h"
#include "load/load_report.h"

namespace monsoonmux {

// Runs an experiment: sends each call when it is due, whether or not earlier
// ones were answered, with at most `threads` under way. Only loopback addresses
// are accepted, so that a mistyped file cannot load somebody's host.
class load_runner {
 public:
  load_runner(experiment plan, const clock& time) : plan(std::move(plan)), time(time) {}

  result<load_report> run();
  // What the callers saw, for the history checker.
  const history& observed_history() const { return this->events; }

 private:
  struct outcome {
    verdict effect = verdict::not_run;
    double latency_ms = 0;
  };

  result<bool> check_addresses() const;
  load_report report(const std::vector<planned_call>& calls, const std::vector<outcome>& outcomes,
                     double seconds) const;
  outcome send(std::size_t index, const planned_call& call, http_client& client,
               const std::string& server, history& history_out) const;

  const experiment plan;
  const clock& time;
  history events;
};

}  // namespace monsoonmux
