#pragma once

#include "base/clock.h"
#include "history/history_event.h"
#include "http/http_client.h"
#include "load/load_plan.h"
#include "load/load_report.h"

namespace monsoonmux {

// Runs an experiment: sends each call when it is due, whether or not earlier ones were
// answered, with at most `threads` calls in flight. Only loopback addresses are
// accepted, so that a mistake in the file cannot put load on other hosts.
class load_runner {
 public:
  load_runner(experiment spec, const clock& time) : spec(std::move(spec)), time(time) {}

  result<load_report> run();
  // The events that the callers observed, for the history checker.
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

  const experiment spec;
  const clock& time;
  history events;
};

}  // namespace monsoonmux
