#include "cell/agent_pool.h"

#include <utility>

#include "decide/cell_state.h"

namespace monsoonmux::cell {
namespace {

constexpr double bytes_per_megabit = 125'000;

// Size of the command in a batch, about.
std::int64_t size_of(const runner_command& command) {
  constexpr std::int64_t without_payload = 50;
  const auto* const start = std::get_if<start_command>(&command);
  return start != nullptr ? start_command_bytes(start->payload) : without_payload;
}

}  // namespace

agent_pool::agent_pool(event_loop& loop, runner_port& direct_port, frame_dialer& given_dialer,
                       const clock& now, event_log& out, metric_registry& registry,
                       const agent_pool_options& given, start_check start_allowed)
    : io(loop),
      direct(direct_port),
      dialer(given_dialer),
      time(now),
      events(out),
      metrics(registry),
      options(given),
      may_send(std::move(start_allowed)),
      assignment(given.assignment),
      budget(given.link_mbps * bytes_per_megabit * given.link_share, given.burst),
      pause(loop),
      ticker(loop) {
  this->tick();
}

agent_pool::~agent_pool() = default;

void agent_pool::on_hello(const std::string& daemon, const peer_address& address,
                          const domain_id& domain, double relative_capacity) {
  this->agents[daemon].address = address;
  this->assignment.on_hello(daemon, domain, relative_capacity, this->time.now());
}

void agent_pool::runner_listed(const std::string& runner, const domain_id& domain) {
  this->assignment.runner_listed(runner, domain);
}

agent_pool::agent* agent_pool::agent_for(const std::string& runner, std::string& name) {
  const auto chosen = this->assignment.agent_of(runner, this->time.now());
  if (!chosen) {
    return nullptr;
  }
  name = *chosen;
  agent& a = this->agents[name];
  if (!a.link) {
    this->connect(name, a);
  }
  return &a;
}

void agent_pool::connect(const std::string& name, agent& a) {
  a.outgoing = {};
  a.outgoing_bytes = 0;
  a.answered = false;
  a.last_received = this->time.now();
  a.last_sent = this->time.now();
  a.link = this->dialer.dial(
      a.address, {[this, name](const std::string& frame) { this->received(name, frame); },
                  [this, name] { this->disconnect(name, "connection lost"); }});
  a.link->send(encode(command_batch{}));  // A ping; its answer carries the agent's clock.
  this->events.write("agent_used", {{"agent", name}});
}

void agent_pool::start(const start_command& command,
                       std::function<void(command_answer)> on_answer) {
  std::string name;
  agent* const a = this->agent_for(command.target.instance, name);
  if (a == nullptr) {
    this->direct.start(command, std::move(on_answer));
    return;
  }
  this->queue(name, *a, command,
              {name, command.target.instance, millis{0}, never, std::move(on_answer), {}});
}

void agent_pool::stop(const stop_command& command, std::function<void(command_answer)> on_answer) {
  std::string name;
  agent* const a = this->agent_for(command.target.instance, name);
  if (a == nullptr) {
    this->direct.stop(command, std::move(on_answer));
    return;
  }
  this->queue(name, *a, command,
              {name, command.target.instance, millis{0}, never, std::move(on_answer), {}});
}

void agent_pool::poll(const poll_request& command, std::function<void(poll_answer)> on_answer) {
  std::string name;
  agent* const a = this->agent_for(command.target.instance, name);
  if (a == nullptr) {
    this->direct.poll(command, std::move(on_answer));
    return;
  }
  this->queue(name, *a, command,
              {name, command.target.instance, command.wait, never, {}, std::move(on_answer)});
}

std::int64_t agent_pool::sendable_bytes() const {
  std::int64_t queued = 0;
  for (const auto& [name, a] : this->agents) {
    queued += a.outgoing_bytes;
  }
  const auto on_wire =
      static_cast<double>(this->budget.available(this->time.now(), this->options.max_queue_time));
  return static_cast<std::int64_t>(on_wire / this->wire_ratio) - queued;
}

void agent_pool::queue(const std::string& name, agent& a, runner_command command,
                       pending_command entry) {
  if (a.outgoing.commands.empty()) {
    this->waiting.push_back(name);
  }
  const std::int64_t number = this->next_number++;
  a.outgoing_bytes += size_of(command);
  a.outgoing.commands.push_back({number, std::move(command)});
  this->pending.emplace(number, std::move(entry));
  this->post_flush();
}

void agent_pool::post_flush() {
  if (this->flush_posted) {
    return;
  }
  this->flush_posted = true;
  this->io.post([this, a = std::weak_ptr(this->alive)] {
    if (!a.expired()) {
      this->flush_posted = false;
      this->flush();
    }
  });
}

void agent_pool::flush() {
  if (this->pause.pending()) {
    return;
  }
  std::deque<std::string> not_connected;
  while (!this->waiting.empty()) {
    const millis delay = this->budget.delay(this->time.now());
    if (delay > millis{0}) {
      this->pause.start(delay, [this] { this->flush(); });
      break;
    }
    const std::string name = std::move(this->waiting.front());
    this->waiting.pop_front();
    agent& a = this->agents[name];
    if (a.link && a.answered && !a.outgoing.commands.empty()) {
      this->send(a);
    } else if (a.link && !a.outgoing.commands.empty()) {
      not_connected.push_back(name);
    }
  }
  this->waiting.insert(this->waiting.end(), not_connected.begin(), not_connected.end());
}

std::string agent_pool::encode_for_link(const command_batch& batch) const {
  return this->options.link_mbps < this->options.compress_below_mbps ? encode_compressed(batch)
                                                                     : encode(batch);
}

void agent_pool::withhold_starts(agent& a) {
  std::vector<pending_command> withheld;
  std::erase_if(a.outgoing.commands, [this, &a, &withheld](const numbered_command& queued) {
    const auto* const start = std::get_if<start_command>(&queued.command);
    if (start == nullptr || this->may_send(*start)) {
      return false;
    }
    a.outgoing_bytes -= size_of(queued.command);
    if (auto entry = this->pending.extract(queued.number)) {
      withheld.push_back(std::move(entry.mapped()));
    }
    return true;
  });
  if (withheld.empty()) {
    return;
  }
  this->events.write("queued_starts_withheld",
                     {{"first_runner", withheld.front().runner}, {"starts", withheld.size()}});
  this->metrics.count("queued_starts_withheld", static_cast<std::int64_t>(withheld.size()));
  this->io.post([withheld = std::move(withheld), still_alive = std::weak_ptr(this->alive)] {
    for (const pending_command& command : withheld) {
      if (still_alive.expired()) {
        return;
      }
      command.on_answer({command_status::not_sent, std::nullopt});
    }
  });
}

void agent_pool::send(agent& a) {
  this->withhold_starts(a);
  if (a.outgoing.commands.empty()) {
    return;
  }
  const instant now = this->time.now();
  this->metrics.count("agent_batches");
  this->metrics.count("agent_orders", static_cast<std::int64_t>(a.outgoing.commands.size()));
  a.last_sent = now;
  a.outgoing.execute_until = a.agent_time + (now - a.last_received) + this->options.max_command_age;
  for (const numbered_command& command : a.outgoing.commands) {
    const auto entry = this->pending.find(command.number);
    if (entry != this->pending.end()) {
      entry->second.deadline = now + entry->second.answer_time + this->options.answer_margin;
    }
  }
  std::string frame = this->encode_for_link(std::exchange(a.outgoing, {}));
  constexpr double newest_weight = 0.1;
  const double ratio =
      static_cast<double>(frame.size()) / static_cast<double>(std::exchange(a.outgoing_bytes, 0));
  this->wire_ratio += newest_weight * (ratio - this->wire_ratio);
  this->metrics.count("bytes_sent_commands", static_cast<std::int64_t>(frame.size()));
  this->budget.spend(frame.size(), now);
  a.link->send(std::move(frame));
}

void agent_pool::received(const std::string& name, const std::string& frame) {
  this->metrics.count("bytes_received_command_answers", static_cast<std::int64_t>(frame.size()));
  auto batch = decode_answers(frame);
  if (!batch) {
    this->disconnect(name, "unreadable frame");
    return;
  }
  agent& a = this->agents[name];
  a.last_received = this->time.now();
  a.agent_time = batch->agent_time;
  if (!a.answered) {
    a.answered = true;
    this->post_flush();
  }
  const auto still_alive = std::weak_ptr(this->alive);
  for (numbered_answer& answer : batch->answers) {
    this->settle(std::move(answer));
    if (still_alive.expired()) {
      return;  // The answer ended this leader's epoch, which destroyed the pool.
    }
  }
}

void agent_pool::settle(numbered_answer answer) {
  const auto it = this->pending.find(answer.number);
  if (it == this->pending.end()) {
    return;  // The command timed out before.
  }
  const pending_command command = std::move(it->second);
  this->pending.erase(it);
  if (const auto* const response = std::get_if<command_answer>(&answer.answer)) {
    this->answer(command, *response);
    return;
  }
  poll_answer& polled = std::get<poll_answer>(answer.answer);
  this->record_status(command, polled.status);
  if (command.on_poll_answer) {
    command.on_poll_answer(std::move(polled));
  }
}

void agent_pool::answer(const pending_command& command, const command_answer& response) {
  this->record_status(command, response.status);
  if (command.on_answer) {
    command.on_answer(response);
  }
}

void agent_pool::answer(const pending_command& command, const poll_answer& response) {
  this->record_status(command, response.status);
  if (command.on_poll_answer) {
    command.on_poll_answer(response);
  }
}

// A slow agent must not make its runners look unresponsive: after an unanswered command,
// the leader sends commands to that runner directly for a while.
void agent_pool::record_status(const pending_command& command, command_status status) {
  if (status == command_status::unknown || status == command_status::not_sent) {
    this->assignment.command_unanswered(command.runner, this->time.now());
  }
}

void agent_pool::fail(const pending_command& command) {
  if (command.on_answer) {
    this->answer(command, command_answer{command_status::unknown, std::nullopt});
  } else {
    this->answer(command, poll_answer{command_status::unknown, {}});
  }
}

// The outcome of the agent's pending commands is unknown: each may have been executed, or
// may still be.
void agent_pool::disconnect(const std::string& name, const char* why) {
  agent& a = this->agents[name];
  if (!a.link) {
    return;
  }
  this->assignment.connection_lost(name, this->time.now());
  this->closed.push_back(std::move(a.link));
  const bool ever_answered = a.answered;
  a.outgoing = {};
  a.outgoing_bytes = 0;
  std::vector<pending_command> lost;
  for (auto it = this->pending.begin(); it != this->pending.end();) {
    if (it->second.agent == name) {
      lost.push_back(std::move(it->second));
      it = this->pending.erase(it);
    } else {
      ++it;
    }
  }
  this->events.write("agent_lost", {{"agent", name},
                                    {"why", why},
                                    {"ever_answered", ever_answered},
                                    {"orders_open", lost.size()}});
  this->metrics.count("agents_lost");
  this->io.post([this, lost = std::move(lost), still_alive = std::weak_ptr(this->alive)] {
    for (const pending_command& command : lost) {
      if (still_alive.expired()) {
        return;
      }
      this->fail(command);
    }
  });
}

void agent_pool::tick() {
  this->ticker.start(this->options.ping_interval, [this] { this->tick(); });
  this->closed.clear();
  const instant now = this->time.now();
  std::vector<std::string> unresponsive;
  for (auto& [name, a] : this->agents) {
    if (!a.link) {
      continue;
    }
    if (now - a.last_received >= this->options.agent_timeout) {
      unresponsive.push_back(name);
    } else if (now - a.last_received >= this->options.ping_interval &&
               now - a.last_sent >= this->options.ping_interval) {
      a.last_sent = now;
      a.link->send(encode(command_batch{}));
    }
  }
  for (const std::string& name : unresponsive) {
    this->disconnect(name, "silent");
  }
  std::vector<std::int64_t> expired;
  for (const auto& [number, command] : this->pending) {
    if (command.deadline <= now) {
      expired.push_back(number);
    }
  }
  const auto still_alive = std::weak_ptr(this->alive);
  for (const std::int64_t number : expired) {
    const auto it = this->pending.find(number);
    if (it == this->pending.end()) {
      continue;
    }
    const pending_command command = std::move(it->second);
    this->pending.erase(it);
    this->fail(command);
    if (still_alive.expired()) {
      return;
    }
  }
}

}  // namespace monsoonmux::cell
