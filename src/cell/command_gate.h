#pragma once

#include <cstdint>
#include <functional>

#include "async/event_log.h"
#include "async/metric_registry.h"
#include "base/clock.h"
#include "cell/event_loop.h"
#include "cell/runner_port.h"

namespace monsoonmux::cell {

// All commands of one leader to runners pass through here, and none passes while its command
// window is over.
//
// A successor relies on the window together with the longest lease: each poll and each start
// extends the lease of everything that runs on its runner, so a command after the end of the
// window would keep runs alive that the successor takes for lapsed. So may one within the window
// that is executed late, as its lease counts from then: see lease_expiry.
class command_gate final : public runner_port {
 public:
  // `may_command`: true while commands may be sent. `may_start`: true while starts may be.
  command_gate(event_loop& io, runner_port& next, const clock& time, event_log& events,
               metric_registry& metrics, std::function<bool()> may_command,
               std::function<bool()> may_start);
  command_gate(const command_gate&) = delete;
  command_gate& operator=(const command_gate&) = delete;

  // A command that is withheld is answered with `not_sent`, and never from inside the call.
  void start(const start_command& command, std::function<void(command_answer)> on_answer) override;
  void stop(const stop_command& command, std::function<void(command_answer)> on_answer) override;
  void poll(const poll_request& request, std::function<void(poll_answer)> on_answer) override;
  // True while commands pass. Logs once when the window has ended, and once when a renewal
  // of the claim has opened it again.
  bool is_open();
  // True while starts pass.
  bool passes_starts() { return this->is_open() && this->may_start(); }

 private:
  void withhold();

  event_loop& io;
  runner_port& next;
  const clock& time;
  event_log& events;
  metric_registry& metrics;
  const std::function<bool()> may_command;
  const std::function<bool()> may_start;
  bool was_open = true;
  instant closed_at{0};                 // When the end of the window was noticed.
  std::int64_t withheld_in_window = 0;  // Commands since then.
};

}  // namespace monsoonmux::cell
