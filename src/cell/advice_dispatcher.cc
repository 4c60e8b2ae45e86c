// A daemon's load is the expected duration of the queries that it was sent and has not
// answered yet. The duration of a call is only an estimate: if the load were derived from
// the clock alone, small errors would add up under full load until every answer came too
// late.

#include "cell/advice_dispatcher.h"

#include <algorithm>
#include <cmath>

namespace monsoonmux::cell {

advice_dispatcher::advice_dispatcher(peer_port& peers_link, advice_call_queue& calls,
                                     const clock& now, event_log& out, daemon_id name, on_advice to,
                                     const dispatcher_options& given)
    : link(peers_link),
      local_calls(calls),
      time(now),
      events(out),
      self(std::move(name)),
      deliver(std::move(to)),
      options(given) {
  this->peers[this->self.text].last_received = never;
}

bool advice_dispatcher::is_available(const std::string& id, const peer& p, instant now) const {
  const bool is_reachable =
      id == this->self.text || now - p.last_received < this->options.peer_timeout;
  return is_reachable && p.avoid_until <= now;
}

std::size_t advice_dispatcher::daemons() const {
  const instant now = this->time.now();
  return static_cast<std::size_t>(
      std::count_if(this->peers.begin(), this->peers.end(), [this, now](const auto& entry) {
        return this->is_available(entry.first, entry.second, now);
      }));
}

std::size_t advice_dispatcher::daemons_kept_free(std::size_t available) const {
  const auto scaled_minimum =
      static_cast<std::size_t>(this->options.min_free_fraction * static_cast<double>(available));
  const std::size_t kept = std::max(this->options.min_free_daemons, scaled_minimum);
  return available > kept ? kept : 0;
}

advice_capacity advice_dispatcher::capacity() const {
  const instant now = this->time.now();
  advice_capacity out{0, 0, millis{0}};
  std::size_t available = 0;
  for (const auto& [id, p] : this->peers) {
    if (!this->is_available(id, p, now)) {
      continue;
    }
    ++available;
    if (p.outstanding <= this->options.max_backlog) {
      ++out.daemons;
      out.backlog_left += this->options.max_backlog - p.outstanding;
    }
  }
  const std::size_t kept = this->daemons_kept_free(available);
  out.daemons_for_long = out.daemons > kept ? out.daemons - kept : 0;
  return out;
}

advice_dispatcher::peer* advice_dispatcher::least_busy(millis expected, bool out_of_turn,
                                                       std::string& name) {
  peer* best = nullptr;
  const instant now = this->time.now();
  std::size_t available = 0;
  std::size_t free = 0;
  for (auto& [id, p] : this->peers) {
    if (!this->is_available(id, p, now)) {
      continue;
    }
    ++available;
    if (p.outstanding > this->options.max_backlog) {
      continue;
    }
    ++free;
    if (best == nullptr || p.outstanding < best->outstanding) {
      best = &p;
      name = id;
    }
  }
  const bool is_long = expected > this->options.long_query && !out_of_turn;
  if (is_long && free <= this->daemons_kept_free(available)) {
    return nullptr;
  }
  return best;
}

bool advice_dispatcher::ask(const advice_query& query) {
  const millis expected{
      std::llround(query.terms.per_call_ms +
                   query.terms.per_runner_ms * static_cast<double>(query.runners.size()))};
  std::string name;
  peer* const chosen = this->least_busy(expected, query.out_of_turn, name);
  if (chosen == nullptr) {
    return false;
  }
  const instant now = this->time.now();
  chosen->outstanding += expected;
  const std::int64_t number = this->next_number++;
  this->pending.emplace(number,
                        pending_query{query, name, expected,
                                      now + chosen->outstanding + this->options.answer_margin});
  if (name == this->self.text) {
    this->local_calls.ask({query.step.text(), query.runners, expected,
                           [this, number, a = std::weak_ptr<bool>(this->alive)](
                               bool answered, const std::vector<ticket>& tickets) {
                             if (!a.expired()) {
                               this->settle(number, answered, tickets);
                             }
                           }});
    return true;
  }
  this->link.send({this->self.text, advice_request_message{number, query.step.text(),
                                                           expected.value, query.runners}},
                  chosen->address);
  return true;
}

void advice_dispatcher::on_hello(const std::string& daemon, const peer_address& from) {
  peer& p = this->peers[daemon];
  p.address = from;
  p.last_received = this->time.now();
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
  const auto it = this->pending.find(number);
  if (it == this->pending.end()) {
    return;  // The query timed out before.
  }
  const pending_query q = std::move(it->second);
  this->pending.erase(it);
  this->peers[q.peer].outstanding -= q.expected;
  this->deliver(q.query.step, q.query.runners, answered, tickets);
}

void advice_dispatcher::tick() {
  const instant now = this->time.now();
  std::vector<std::int64_t> expired;
  for (auto& [number, q] : this->pending) {
    if (q.deadline > now) {
      continue;
    }
    if (q.overdue) {
      expired.push_back(number);
    }
    q.overdue = true;
  }
  for (const std::int64_t number : expired) {
    const pending_query& q = this->pending.at(number);
    this->events.write("advice_unanswered", {{"step", q.query.step.text()}, {"daemon", q.peer}});
    this->peers[q.peer].avoid_until = now + this->options.penalty;
    this->settle(number, false, {});
  }
}

}  // namespace monsoonmux::cell
