// A call is matched with a slot before a thread blocks on it, so the number of
// blocked threads is the number of slots held, and a slow pool cannot take the
// threads of another. Choosing the runner by smoothed latency among those with a
// free slot keeps fast runners busy first; slots bound the load of each, so no
// estimate of queue lengths is needed. Sending first and letting runners refuse,
// the obvious way, relies on a refusal that runners need not give.

#include "call/call_lane.h"

#include <algorithm>
#include <chrono>

namespace monsoonmux {

call_lane::call_lane(pool_id pool, const clock& time, slot_book& slots, runner_port& runners,
                     event_sink& events, run_blocking run, lane_options options)
    : pool(std::move(pool)),
      time(time),
      slots(slots),
      port(runners),
      events(events),
      run(std::move(run)),
      options(options) {}

void call_lane::set_runners(const std::vector<runner_host>& runners) {
  const std::lock_guard hold(this->lock);
  this->hosts.clear();
  for (const runner_host& host : runners) {
    if (host.pool == this->pool && !host.leaving) {
      this->hosts[host.runner] = host;
    }
  }
  std::erase_if(this->stats, [&](const auto& item) { return this->hosts.count(item.first) == 0; });
}

void call_lane::set_share(const team_id& team, std::int64_t share, bool limited) {
  const std::lock_guard hold(this->lock);
  this->lines[team].share = share;
  this->lines[team].limited = limited;
}

void call_lane::submit(call_request call, std::int64_t most_waiting, reply<call_answer> done) {
  auto p = std::make_shared<pending>();
  p->call = std::move(call);
  p->done = std::move(done);
  p->queued = this->time.now();
  if (this->admit(p, most_waiting)) {
    this->pump();
  } else {
    p->done(not_run(error_code::overloaded, "the team's queue on this daemon is full"));
  }
}

bool call_lane::admit(const pending_ptr& p, std::int64_t most_waiting) {
  const std::lock_guard hold(this->lock);
  team_line& line = this->lines[p->call.team];
  if (static_cast<std::int64_t>(line.waiting.size()) >= most_waiting) {
    ++this->numbers.refused;
    return false;
  }
  ++this->numbers.admitted;
  this->retries.on_call();
  line.waiting.push_back(p);
  return true;
}

void call_lane::pump() {
  for (;;) {
    dispatch d;
    bool found = false;
    answers out;
    {
      const std::lock_guard hold(this->lock);
      const instant now = this->time.now();
      this->release_abandoned(now);
      this->expire(now, out);
      found = this->next(now, d);
    }
    for (const auto& answer : out) {
      answer();
    }
    if (!found) {
      return;
    }
    this->run([self = this->shared_from_this(), d] { self->execute(d); });
  }
}

void call_lane::let_go(const dispatch& d, const result<runner_answer>& answer) {
  if (answer.has_value() || answer.error().effect == verdict::not_run) {
    this->slots.release(d.slots);
    return;
  }
  const std::lock_guard hold(this->lock);
  this->held_slots.push_back({this->time.now() + this->options.abandoned_hold, d.slots});
}

void call_lane::release_abandoned(instant now) {
  std::erase_if(this->held_slots, [&](const abandoned& a) {
    if (a.until > now) {
      return false;
    }
    this->slots.release(a.slots);
    return true;
  });
}

void call_lane::expire(instant now, answers& out) {
  for (auto& [team, line] : this->lines) {
    std::erase_if(line.waiting, [&](const pending_ptr& p) {
      if (p->call.deadline > now) {
        return false;
      }
      ++this->numbers.refused;
      out.emplace_back([p] {
        p->done(not_run(error_code::deadline_exceeded, "no runner was free before the deadline"));
      });
      return true;
    });
  }
}

// The first call, in order of its team's use per share, that has a runner.
bool call_lane::next(instant now, dispatch& out) {
  std::vector<team_line*> order;
  for (auto& [team, line] : this->lines) {
    if (!line.waiting.empty()) {
      order.push_back(&line);
    }
  }
  std::stable_sort(order.begin(), order.end(), [](const team_line* a, const team_line* b) {
    return a->in_progress * b->share < b->in_progress * a->share;
  });
  for (team_line* line : order) {
    if (this->choose(*line->waiting.front(), *line, now, out)) {
      out.call = line->waiting.front();
      line->waiting.pop_front();
      ++line->in_progress;
      return true;
    }
  }
  return false;
}

bool call_lane::choose(pending& p, team_line& line, instant now, dispatch& out) {
  const auto tried = [&](const runner_id& r) {
    return std::find(p.tried.begin(), p.tried.end(), r) != p.tried.end();
  };
  const runner_id* best = nullptr;
  auto lowest = std::make_tuple(true, true, 0.0);
  for (const auto& [id, host] : this->hosts) {
    if (this->slots.free(id.text) <= 0) {
      continue;
    }
    const runner_stats& s = this->stats[id];
    const auto score = std::make_tuple(tried(id), s.left_out(now), s.latency());
    if (best == nullptr || score < lowest) {
      best = &id;
      lowest = score;
    }
  }
  if (best == nullptr) {
    return false;
  }
  std::vector<std::string> wanted = {best->text};
  if (line.limited) {
    wanted.push_back("team:" + p.call.team.text);
  }
  if (!this->slots.take(wanted)) {
    return false;
  }
  out.runner = *best;
  out.slots = std::move(wanted);
  out.timeout = this->try_time(p, *best, now);
  return true;
}

// An idempotent call leaves time for a second try elsewhere, unless this is the
// last one it can have.
millis call_lane::try_time(const pending& p, const runner_id& runner, instant now) const {
  const millis left = p.call.deadline - now;
  if (!p.call.idempotent || p.tries > 0 || this->hosts.size() < 2) {
    return left;
  }
  const double latency = this->stats.at(runner).latency();
  const millis usual{static_cast<std::int64_t>(latency * this->options.first_try_factor)};
  return std::min(left, std::max({usual, this->options.first_try_least, left / 2}));
}

void call_lane::execute(const dispatch& d) {
  const call_request& call = d.call->call;
  runner_request request;
  request.call_id = call.id;
  request.once = !call.idempotent;
  request.method = call.method;
  request.path = call.path;
  request.headers = call.headers;
  request.body = call.body;
  request.timeout = d.timeout;
  const auto start = std::chrono::steady_clock::now();
  // The grant may have ended while this waited for a thread or was paused.
  const bool valid = this->time.now() < call.deadline && this->slots.newest() != 0;
  const auto answer =
      valid ? this->port.call(d.runner, request)
            : result<runner_answer>(not_run(error_code::deadline_exceeded, "not sent in time"));
  const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - start;
  this->finish(d, answer, took.count());
}

bool call_lane::may_retry(const dispatch& d, const failure& f, instant now) {
  const bool allowed = f.effect == verdict::not_run || d.call->call.idempotent;
  return allowed && d.call->call.deadline > now && this->retries.spend();
}

void call_lane::finish(const dispatch& d, const result<runner_answer>& answer, double latency_ms) {
  this->let_go(d, answer);
  std::function<void()> tell;
  {
    const std::lock_guard hold(this->lock);
    const instant now = this->time.now();
    team_line& line = this->lines[d.call->call.team];
    --line.in_progress;
    ++d.call->tries;
    d.call->tried.push_back(d.runner);
    if (answer.has_value()) {
      this->stats[d.runner].on_answer(latency_ms);
      ++this->numbers.answered;
      tell = [&] { d.call->done(call_answer{answer.value(), d.runner, d.call->tries}); };
    } else {
      this->stats[d.runner].on_failure(now);
      if (this->may_retry(d, answer.error(), now)) {
        ++this->numbers.retries;
        line.waiting.push_front(d.call);
      } else {
        failure f = answer.error();
        const bool not_run_ever = f.effect == verdict::not_run && d.call->tries == 1;
        // An earlier try may have run although this one did not.
        f.effect = not_run_ever || !d.call->call.idempotent ? f.effect : verdict::may_have_run;
        ++(f.effect == verdict::not_run ? this->numbers.refused : this->numbers.may_have_run);
        tell = [&d, f] { d.call->done(f); };
      }
    }
  }
  if (tell) {
    tell();
  }
  this->pump();
}

void call_lane::refuse_unless(const std::function<bool(const team_id&)>& keep) {
  std::vector<pending_ptr> refused;
  {
    const std::lock_guard hold(this->lock);
    for (auto& [team, line] : this->lines) {
      if (!keep(team)) {
        for (const pending_ptr& p : line.waiting) {
          if (p->tries == 0) {
            refused.push_back(p);
          }
        }
        std::erase_if(line.waiting, [](const pending_ptr& p) { return p->tries == 0; });
      }
    }
  }
  for (const pending_ptr& p : refused) {
    p->done(not_run(error_code::unauthorized, "the key was withdrawn before the call started"));
  }
}

bool call_lane::idle() const {
  const std::lock_guard hold(this->lock);
  return std::all_of(this->lines.begin(), this->lines.end(), [](const auto& item) {
    return item.second.waiting.empty() && item.second.in_progress == 0;
  });
}

lane_counts call_lane::counts() const {
  const std::lock_guard hold(this->lock);
  lane_counts out = this->numbers;
  for (const auto& [team, line] : this->lines) {
    out.waiting += static_cast<std::int64_t>(line.waiting.size());
  }
  return out;
}

}  // namespace monsoonmux
