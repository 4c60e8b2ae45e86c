#include "cell/runner_agent.h"

#include <utility>

namespace monsoonmux::cell {

runner_agent::runner_agent(event_loop& loop, runner_port& port, const clock& now, event_log& out)
    : io(loop), runners(port), time(now), events(out) {}

runner_agent::~runner_agent() = default;

void runner_agent::opened(std::int64_t connection, frame_link& link) {
  this->leaders[connection].link = &link;
}

void runner_agent::closed(std::int64_t connection) {
  this->leaders.erase(connection);
}

bool runner_agent::received(std::int64_t connection, const std::string& frame) {
  const auto batch = decode_commands(frame);
  const auto it = this->leaders.find(connection);
  if (!batch || it == this->leaders.end()) {
    this->events.write("orders_unreadable", {{"bytes", frame.size()}});
    return false;
  }
  if (batch->commands.empty()) {
    this->post_flush(connection, it->second);
  }
  if (this->time.now() > batch->execute_until) {
    this->reject(connection, *batch);
    return true;
  }
  for (const numbered_command& command : batch->commands) {
    this->execute(connection, command);
  }
  return true;
}

void runner_agent::reject(std::int64_t connection, const command_batch& late) {
  if (late.commands.empty()) {
    return;
  }
  this->events.write("orders_too_late",
                     {{"orders", late.commands.size()},
                      {"late_ms", (this->time.now() - late.execute_until).value}});
  for (const numbered_command& command : late.commands) {
    if (std::holds_alternative<poll_request>(command.command)) {
      this->answer(connection, {command.number, poll_answer{command_status::not_sent, {}}});
    } else {
      this->answer(connection, {command.number, command_answer{command_status::not_sent, {}}});
    }
  }
}

void runner_agent::execute(std::int64_t connection, const numbered_command& command) {
  const auto answered = [this, connection, number = command.number,
                         still_alive = std::weak_ptr(this->alive)](auto response) {
    if (!still_alive.expired()) {
      this->answer(connection, {number, std::move(response)});
    }
  };
  if (const auto* const start = std::get_if<start_command>(&command.command)) {
    this->runners.start(*start, answered);
  } else if (const auto* const stop = std::get_if<stop_command>(&command.command)) {
    this->runners.stop(*stop, answered);
  } else {
    this->runners.poll(std::get<poll_request>(command.command), answered);
  }
}

void runner_agent::answer(std::int64_t connection, numbered_answer response) {
  const auto it = this->leaders.find(connection);
  if (it == this->leaders.end()) {
    return;  // The leader has closed the connection.
  }
  it->second.outgoing.answers.push_back(std::move(response));
  this->post_flush(connection, it->second);
}

// Sends a batch even without answers: an empty batch answers a ping.
void runner_agent::post_flush(std::int64_t connection, leader_connection& to) {
  if (to.flush_posted) {
    return;
  }
  to.flush_posted = true;
  this->io.post([this, connection, still_alive = std::weak_ptr(this->alive)] {
    if (still_alive.expired()) {
      return;
    }
    const auto it = this->leaders.find(connection);
    if (it != this->leaders.end()) {
      it->second.flush_posted = false;
      it->second.outgoing.agent_time = this->time.now();
      it->second.link->send(encode(std::exchange(it->second.outgoing, {})));
    }
  });
}

}  // namespace monsoonmux::cell
