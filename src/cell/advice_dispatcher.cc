// A daemon's load is the work that it was asked for and has not answered. The time
// that a call should take is only an estimate; reckoned by the clock alone, small
// errors would add up under full load until every answer came too late.

#include "cell/advice_dispatcher.h"

#include <algorithm>
#include <cmath>

namespace monsoonmux::cell {

advice_dispatcher::advice_dispatcher(peer_port& peers_link, advice_desk& desk, const clock& now,
                                     event_log& out, daemon_id name, on_advice to,
                                     const dispatcher_options& given)
    : link(peers_link),
      own_desk(desk),
      time(now),
      events(out),
      self(std::move(name)),
      deliver(std::move(to)),
      options(given) {
  this->peers[this->self.text].heard = never;
}

bool advice_dispatcher::is_here(const std::string& id, const peer& p) const {
  const instant now = this->time.now();
  const bool heard = id == this->self.text || now - p.heard < this->options.peer_silence;
  return heard && p.avoid_until <= now;
}

std::size_t advice_dispatcher::daemons() const {
  return static_cast<std::size_t>(std::count_if(
      this->peers.begin(), this->peers.end(),
      [this](const auto& entry) { return this->is_here(entry.first, entry.second); }));
}

advice_dispatcher::peer* advice_dispatcher::least_busy(millis expected, std::string& name) {
  peer* best = nullptr;
  std::size_t here_in_all = 0;
  std::size_t free = 0;
  for (auto& [id, p] : this->peers) {
    if (!this->is_here(id, p)) {
      continue;
    }
    ++here_in_all;
    if (p.outstanding > this->options.most_backlog) {
      continue;
    }
    ++free;
    if (best == nullptr || p.outstanding < best->outstanding) {
      best = &p;
      name = id;
    }
  }
  const bool is_long = expected > this->options.long_question;
  const auto part =
      static_cast<std::size_t>(this->options.part_kept_free * static_cast<double>(here_in_all));
  const std::size_t kept_free = std::max(this->options.kept_free, part);
  const bool can_keep_free = here_in_all > kept_free;
  if (is_long && can_keep_free && free <= kept_free) {
    return nullptr;
  }
  return best;
}

bool advice_dispatcher::ask(const advice_query& wish) {
  const millis expected{
      std::llround(wish.terms.per_call_ms +
                   wish.terms.per_runner_ms * static_cast<double>(wish.runners.size()))};
  std::string name;
  peer* const chosen = this->least_busy(expected, name);
  if (chosen == nullptr) {
    return false;
  }
  const instant now = this->time.now();
  chosen->outstanding += expected;
  const std::int64_t number = this->next_number++;
  this->open.emplace(number, question{wish, name, expected,
                                      now + chosen->outstanding + this->options.answer_margin});
  if (name == this->self.text) {
    this->own_desk.ask({wish.step.text(), wish.runners, expected,
                        [this, number, a = std::weak_ptr<bool>(this->alive)](
                            bool answered, const std::vector<ticket>& tickets) {
                          if (!a.expired()) {
                            this->settle(number, answered, tickets);
                          }
                        }});
    return true;
  }
  this->link.send({this->self.text,
                   advice_request_message{number, wish.step.text(), expected.value, wish.runners}},
                  chosen->address);
  return true;
}

void advice_dispatcher::heard(const std::string& daemon, const peer_address& from) {
  peer& p = this->peers[daemon];
  p.address = from;
  p.heard = this->time.now();
}

void advice_dispatcher::answered(const advice_answer_message& answer) {
  std::vector<ticket> tickets;
  for (const peer_ticket& t : answer.tickets) {
    tickets.push_back({t.runner, t.text});
  }
  this->settle(answer.request, answer.answered, tickets);
}

void advice_dispatcher::settle(std::int64_t number, bool answered,
                               const std::vector<ticket>& tickets) {
  const auto it = this->open.find(number);
  if (it == this->open.end()) {
    return;  // Given up before.
  }
  const question q = std::move(it->second);
  this->open.erase(it);
  this->peers[q.peer].outstanding -= q.expected;
  this->deliver(q.wish.step, q.wish.runners, answered, tickets);
}

void advice_dispatcher::tick() {
  const instant now = this->time.now();
  std::vector<std::int64_t> over;
  for (const auto& [number, q] : this->open) {
    if (q.give_up <= now) {
      over.push_back(number);
    }
  }
  for (const std::int64_t number : over) {
    const question& q = this->open.at(number);
    this->events.write("advice_unanswered", {{"step", q.wish.step.text()}, {"daemon", q.peer}});
    this->peers[q.peer].avoid_until = now + this->options.penalty;
    this->settle(number, false, {});
  }
}

}  // namespace monsoonmux::cell
