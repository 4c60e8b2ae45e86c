#include "cell/command_gate.h"

#include <utility>

namespace monsoonmux::cell {

command_gate::command_gate(event_loop& loop, runner_port& port, const clock& now, event_log& out,
                           metric_registry& registry, std::function<bool()> window_open,
                           std::function<bool()> starts_allowed)
    : io(loop),
      next(port),
      time(now),
      events(out),
      metrics(registry),
      may_command(std::move(window_open)),
      may_start(std::move(starts_allowed)) {}

bool command_gate::is_open() {
  const bool open = this->may_command();
  if (open == this->was_open) {
    return open;
  }
  this->was_open = open;
  if (open) {
    this->events.write("command_window_reopened",
                       {{"closed_ms", (this->time.now() - this->closed_at).value},
                        {"withheld", this->withheld_in_window}});
  } else {
    this->closed_at = this->time.now();
    this->withheld_in_window = 0;
    this->events.write("command_window_ended", {});
    this->metrics.count("command_windows_ended");
  }
  return open;
}

void command_gate::withhold() {
  ++this->withheld_in_window;
  this->metrics.count("commands_withheld");
}

void command_gate::start(const start_command& command,
                         std::function<void(command_answer)> on_answer) {
  if (this->passes_starts()) {
    this->next.start(command, std::move(on_answer));
    return;
  }
  this->withhold();
  this->io.post([on_answer = std::move(on_answer)] {
    on_answer({command_status::not_sent, std::nullopt});
  });
}

void command_gate::stop(const stop_command& command,
                        std::function<void(command_answer)> on_answer) {
  if (this->is_open()) {
    this->next.stop(command, std::move(on_answer));
    return;
  }
  this->withhold();
  this->io.post([on_answer = std::move(on_answer)] {
    on_answer({command_status::not_sent, std::nullopt});
  });
}

void command_gate::poll(const poll_request& request, std::function<void(poll_answer)> on_answer) {
  if (this->is_open()) {
    this->next.poll(request, std::move(on_answer));
    return;
  }
  this->withhold();
  this->io.post([on_answer = std::move(on_answer)] { on_answer({command_status::not_sent, {}}); });
}

}  // namespace monsoonmux::cell
