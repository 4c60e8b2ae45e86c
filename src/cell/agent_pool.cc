#include "cell/agent_pool.h"

#include <utility>

namespace monsoonmux::cell {

agent_pool::agent_pool(event_loop& loop, runner_port& own, frame_dialer& dials, const clock& now,
                       event_log& out, metric_registry& counted, const pool_options& given)
    : io(loop),
      direct(own),
      dialer(dials),
      time(now),
      events(out),
      metrics(counted),
      options(given),
      book(given.book),
      ticker(loop) {
  this->tick();
}

agent_pool::~agent_pool() = default;

void agent_pool::heard(const std::string& daemon, const peer_address& address,
                       const domain_id& domain, double relative_capacity) {
  this->agents[daemon].address = address;
  this->book.heard(daemon, domain, relative_capacity, this->time.now());
}

void agent_pool::runner_listed(const std::string& runner, const domain_id& domain) {
  this->book.runner_listed(runner, domain);
}

agent_pool::agent* agent_pool::agent_for(const std::string& runner, std::string& name) {
  const auto chosen = this->book.agent_of(runner, this->time.now());
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
  a.heard = this->time.now();
  a.asked = this->time.now();
  a.link = this->dialer.dial(
      a.address, {[this, name](const std::string& frame) { this->received(name, frame); },
                  [this, name] { this->broken(name, "connection lost"); }});
  a.link->send(encode(order_batch{}));  // Its answer tells the agent's clock.
  this->events.write("agent_used", {{"agent", name}});
}

void agent_pool::start(const start_command& order, std::function<void(command_answer)> on_answer) {
  std::string name;
  agent* const a = this->agent_for(order.target.instance, name);
  if (a == nullptr) {
    this->direct.start(order, std::move(on_answer));
    return;
  }
  const instant give_up = this->time.now() + this->options.answer_margin;
  this->queue(*a, order, {name, order.target.instance, give_up, std::move(on_answer), {}});
}

void agent_pool::stop(const stop_command& order, std::function<void(command_answer)> on_answer) {
  std::string name;
  agent* const a = this->agent_for(order.target.instance, name);
  if (a == nullptr) {
    this->direct.stop(order, std::move(on_answer));
    return;
  }
  const instant give_up = this->time.now() + this->options.answer_margin;
  this->queue(*a, order, {name, order.target.instance, give_up, std::move(on_answer), {}});
}

void agent_pool::poll(const poll_request& order, std::function<void(poll_answer)> on_answer) {
  std::string name;
  agent* const a = this->agent_for(order.target.instance, name);
  if (a == nullptr) {
    this->direct.poll(order, std::move(on_answer));
    return;
  }
  const instant give_up = this->time.now() + order.wait + this->options.answer_margin;
  this->queue(*a, order, {name, order.target.instance, give_up, {}, std::move(on_answer)});
}

void agent_pool::queue(agent& a, runner_order order, open_order entry) {
  const std::int64_t number = this->next_number++;
  a.next.orders.push_back({number, std::move(order)});
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
    if (a.link && a.answered && !a.next.orders.empty()) {
      this->send(a);
    }
  }
}

void agent_pool::send(agent& a) {
  const instant now = this->time.now();
  this->metrics.count("agent_batches");
  this->metrics.count("agent_orders", static_cast<std::int64_t>(a.next.orders.size()));
  a.asked = now;
  a.next.carry_until = a.agent_time + (now - a.heard) + this->options.order_age;
  a.link->send(encode(std::exchange(a.next, {})));
}

void agent_pool::received(const std::string& name, const std::string& frame) {
  auto batch = decode_answers(frame);
  if (!batch) {
    this->broken(name, "unreadable frame");
    return;
  }
  agent& a = this->agents[name];
  a.heard = this->time.now();
  a.agent_time = batch->agent_time;
  if (!a.answered) {
    a.answered = true;
    this->post_flush();
  }
  const auto life = std::weak_ptr(this->alive);
  for (numbered_answer& answer : batch->answers) {
    this->settle(std::move(answer));
    if (life.expired()) {
      return;  // The answer ended this owner's epoch.
    }
  }
}

void agent_pool::settle(numbered_answer answer) {
  const auto it = this->open.find(answer.number);
  if (it == this->open.end()) {
    return;  // Given up before.
  }
  const open_order order = std::move(it->second);
  this->open.erase(it);
  if (const auto* const told = std::get_if<command_answer>(&answer.answer)) {
    this->answer(order, *told);
  } else {
    this->answer(order, std::get<poll_answer>(answer.answer));
  }
}

void agent_pool::answer(const open_order& order, const command_answer& told) {
  this->note_status(order, told.status);
  if (order.on_answer) {
    order.on_answer(told);
  }
}

void agent_pool::answer(const open_order& order, const poll_answer& told) {
  this->note_status(order, told.status);
  if (order.on_report) {
    order.on_report(told);
  }
}

// An agent that is slow must not make its runners look silent.
void agent_pool::note_status(const open_order& order, command_status status) {
  if (status == command_status::unknown || status == command_status::not_sent) {
    this->book.command_unanswered(order.runner, this->time.now());
  }
}

void agent_pool::fail(const open_order& order) {
  if (order.on_answer) {
    this->answer(order, command_answer{command_status::unknown, std::nullopt});
  } else {
    this->answer(order, poll_answer{command_status::unknown, {}});
  }
}

// Nobody can tell of any of its orders whether it is, or will be, carried out.
void agent_pool::broken(const std::string& name, const char* why) {
  agent& a = this->agents[name];
  if (!a.link) {
    return;
  }
  this->book.connection_lost(name, this->time.now());
  this->closed.push_back(std::move(a.link));
  const bool stood = a.answered;
  a.next = {};
  std::vector<open_order> lost;
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
  this->io.post([this, lost = std::move(lost), life = std::weak_ptr(this->alive)] {
    for (const open_order& order : lost) {
      if (life.expired()) {
        return;
      }
      this->fail(order);
    }
  });
}

void agent_pool::tick() {
  this->ticker.start(this->options.ping, [this] { this->tick(); });
  this->closed.clear();
  const instant now = this->time.now();
  std::vector<std::string> silent;
  for (auto& [name, a] : this->agents) {
    if (!a.link) {
      continue;
    }
    if (now - a.heard >= this->options.silence) {
      silent.push_back(name);
    } else if (now - a.heard >= this->options.ping && now - a.asked >= this->options.ping) {
      a.asked = now;
      a.link->send(encode(order_batch{}));
    }
  }
  for (const std::string& name : silent) {
    this->broken(name, "silent");
  }
  std::vector<std::int64_t> over;
  for (const auto& [number, order] : this->open) {
    if (order.give_up <= now) {
      over.push_back(number);
    }
  }
  const auto life = std::weak_ptr(this->alive);
  for (const std::int64_t number : over) {
    const auto it = this->open.find(number);
    if (it == this->open.end()) {
      continue;
    }
    const open_order order = std::move(it->second);
    this->open.erase(it);
    this->fail(order);
    if (life.expired()) {
      return;
    }
  }
}

}  // namespace monsoonmux::cell
