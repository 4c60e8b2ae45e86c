#include "cell/agent_pool.h"

#include <utility>

namespace monsoonmux::cell {

agent_pool::agent_pool(event_loop& loop, runner_port& own, frame_dialer& dials, const clock& now,
                       event_log& out, metric_registry& counted, const agent_pool_options& given)
    : io(loop),
      direct(own),
      dialer(dials),
      time(now),
      events(out),
      metrics(counted),
      options(given),
      assignment(given.assignment),
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
  a.next = {};
  a.answered = false;
  a.last_received = this->time.now();
  a.last_sent = this->time.now();
  a.link = this->dialer.dial(
      a.address, {[this, name](const std::string& frame) { this->received(name, frame); },
                  [this, name] { this->disconnect(name, "connection lost"); }});
  a.link->send(encode(command_batch{}));  // Its answer tells the agent's clock.
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
  const instant give_up = this->time.now() + this->options.answer_margin;
  this->queue(*a, command, {name, command.target.instance, give_up, std::move(on_answer), {}});
}

void agent_pool::stop(const stop_command& command, std::function<void(command_answer)> on_answer) {
  std::string name;
  agent* const a = this->agent_for(command.target.instance, name);
  if (a == nullptr) {
    this->direct.stop(command, std::move(on_answer));
    return;
  }
  const instant give_up = this->time.now() + this->options.answer_margin;
  this->queue(*a, command, {name, command.target.instance, give_up, std::move(on_answer), {}});
}

void agent_pool::poll(const poll_request& command, std::function<void(poll_answer)> on_answer) {
  std::string name;
  agent* const a = this->agent_for(command.target.instance, name);
  if (a == nullptr) {
    this->direct.poll(command, std::move(on_answer));
    return;
  }
  const instant give_up = this->time.now() + command.wait + this->options.answer_margin;
  this->queue(*a, command, {name, command.target.instance, give_up, {}, std::move(on_answer)});
}

void agent_pool::queue(agent& a, runner_command command, pending_command entry) {
  const std::int64_t number = this->next_number++;
  a.next.commands.push_back({number, std::move(command)});
  this->open.emplace(number, std::move(entry));
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
  for (auto& [name, a] : this->agents) {
    if (a.link && a.answered && !a.next.commands.empty()) {
      this->send(a);
    }
  }
}

void agent_pool::send(agent& a) {
  const instant now = this->time.now();
  this->metrics.count("agent_batches");
  this->metrics.count("agent_orders", static_cast<std::int64_t>(a.next.commands.size()));
  a.last_sent = now;
  a.next.execute_until = a.agent_time + (now - a.last_received) + this->options.max_command_age;
  a.link->send(encode(std::exchange(a.next, {})));
}

void agent_pool::received(const std::string& name, const std::string& frame) {
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
      return;  // The answer ended this owner's epoch.
    }
  }
}

void agent_pool::settle(numbered_answer answer) {
  const auto it = this->open.find(answer.number);
  if (it == this->open.end()) {
    return;  // Given up before.
  }
  const pending_command command = std::move(it->second);
  this->open.erase(it);
  if (const auto* const response = std::get_if<command_answer>(&answer.answer)) {
    this->answer(command, *response);
  } else {
    this->answer(command, std::get<poll_answer>(answer.answer));
  }
}

void agent_pool::answer(const pending_command& command, const command_answer& response) {
  this->note_status(command, response.status);
  if (command.on_answer) {
    command.on_answer(response);
  }
}

void agent_pool::answer(const pending_command& command, const poll_answer& response) {
  this->note_status(command, response.status);
  if (command.on_report) {
    command.on_report(response);
  }
}

// An agent that is slow must not make its runners look silent.
void agent_pool::note_status(const pending_command& command, command_status status) {
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

// Nobody can tell of any of its orders whether it is, or will be, carried out.
void agent_pool::disconnect(const std::string& name, const char* why) {
  agent& a = this->agents[name];
  if (!a.link) {
    return;
  }
  this->assignment.connection_lost(name, this->time.now());
  this->closed.push_back(std::move(a.link));
  const bool stood = a.answered;
  a.next = {};
  std::vector<pending_command> lost;
  for (auto it = this->open.begin(); it != this->open.end();) {
    if (it->second.agent == name) {
      lost.push_back(std::move(it->second));
      it = this->open.erase(it);
    } else {
      ++it;
    }
  }
  this->events.write(
      "agent_lost",
      {{"agent", name}, {"why", why}, {"ever_answered", stood}, {"orders_open", lost.size()}});
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
  std::vector<std::string> silent;
  for (auto& [name, a] : this->agents) {
    if (!a.link) {
      continue;
    }
    if (now - a.last_received >= this->options.agent_timeout) {
      silent.push_back(name);
    } else if (now - a.last_received >= this->options.ping_interval &&
               now - a.last_sent >= this->options.ping_interval) {
      a.last_sent = now;
      a.link->send(encode(command_batch{}));
    }
  }
  for (const std::string& name : silent) {
    this->disconnect(name, "silent");
  }
  std::vector<std::int64_t> over;
  for (const auto& [number, command] : this->open) {
    if (command.give_up <= now) {
      over.push_back(number);
    }
  }
  const auto still_alive = std::weak_ptr(this->alive);
  for (const std::int64_t number : over) {
    const auto it = this->open.find(number);
    if (it == this->open.end()) {
      continue;
    }
    const pending_command command = std::move(it->second);
    this->open.erase(it);
    this->fail(command);
    if (still_alive.expired()) {
      return;
    }
  }
}

}  // namespace monsoonmux::cell
