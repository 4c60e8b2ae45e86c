#include "cell/runner_agent.h"

#include <utility>

namespace monsoonmux::cell {

runner_agent::runner_agent(event_loop& loop, runner_port& port, const clock& now, event_log& out)
    : io(loop), runners(port), time(now), events(out) {}

runner_agent::~runner_agent() = default;

void runner_agent::opened(std::int64_t connection, frame_link& link) {
  this->owners[connection].link = &link;
}

void runner_agent::closed(std::int64_t connection) {
  this->owners.erase(connection);
}

bool runner_agent::received(std::int64_t connection, const std::string& frame) {
  const auto batch = decode_orders(frame);
  const auto it = this->owners.find(connection);
  if (!batch || it == this->owners.end()) {
    this->events.write("orders_unreadable", {{"bytes", frame.size()}});
    return false;
  }
  if (batch->orders.empty()) {
    this->post_flush(connection, it->second);
  }
  if (this->time.now() > batch->carry_until) {
    this->refuse(connection, *batch);
    return true;
  }
  for (const numbered_order& order : batch->orders) {
    this->carry_out(connection, order);
  }
  return true;
}

void runner_agent::refuse(std::int64_t connection, const order_batch& late) {
  if (late.orders.empty()) {
    return;
  }
  this->events.write("orders_too_late", {{"orders", late.orders.size()},
                                         {"late_ms", (this->time.now() - late.carry_until).value}});
  for (const numbered_order& order : late.orders) {
    if (std::holds_alternative<poll_request>(order.order)) {
      this->answer(connection, {order.number, poll_answer{command_status::not_sent, {}}});
    } else {
      this->answer(connection, {order.number, command_answer{command_status::not_sent, {}}});
    }
  }
}

void runner_agent::carry_out(std::int64_t connection, const numbered_order& order) {
  const auto answered = [this, connection, number = order.number,
                         life = std::weak_ptr(this->alive)](auto told) {
    if (!life.expired()) {
      this->answer(connection, {number, std::move(told)});
    }
  };
  if (const auto* const start = std::get_if<start_command>(&order.order)) {
    this->runners.start(*start, answered);
  } else if (const auto* const stop = std::get_if<stop_command>(&order.order)) {
    this->runners.stop(*stop, answered);
  } else {
    this->runners.poll(std::get<poll_request>(order.order), answered);
  }
}

void runner_agent::answer(std::int64_t connection, numbered_answer told) {
  const auto it = this->owners.find(connection);
  if (it == this->owners.end()) {
    return;  // Its owner has given it up.
  }
  it->second.next.answers.push_back(std::move(told));
  this->post_flush(connection, it->second);
}

// Also without answers: an empty batch is the sign of life that was asked for.
void runner_agent::post_flush(std::int64_t connection, owner_link& to) {
  if (to.flush_posted) {
    return;
  }
  to.flush_posted = true;
  this->io.post([this, connection, life = std::weak_ptr(this->alive)] {
    if (life.expired()) {
      return;
    }
    const auto it = this->owners.find(connection);
    if (it != this->owners.end()) {
      it->second.flush_posted = false;
      it->second.next.agent_time = this->time.now();
      it->second.link->send(encode(std::exchange(it->second.next, {})));
    }
  });
}

}  // namespace monsoonmux::cell
