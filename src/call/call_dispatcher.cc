// A call acquires a slot before a thread blocks on it. The number of blocked threads therefore
// equals the number of acquired slots, and a slow pool cannot exhaust the threads of another pool.
// Among the runners with a free slot, the one with the lowest smoothed latency is chosen, which
// keeps fast runners busy first. Slots bound the load of each runner, so queue lengths need not be
// estimated. The obvious alternative, sending calls at once and letting runners reject the excess,
// requires runners to reject calls when overloaded, which they are not required to do.

#include "call/call_dispatcher.h"

#include <algorithm>
#include <chrono>

namespace monsoonmux {

call_dispatcher::call_dispatcher(pool_id pool, const clock& time, leased_slots& slots,
                                 runner_port& runners, event_sink& events, run_blocking run,
                                 call_dispatcher_options options)
    : pool(std::move(pool)),
      time(time),
      slots(slots),
      port(runners),
      events(events),
      run(std::move(run)),
      options(options) {}

void call_dispatcher::set_runners(const std::vector<runner_host>& runners) {
  const std::lock_guard guard(this->lock);
  this->hosts.clear();
  for (const runner_host& host : runners) {
    if (host.pool == this->pool && !host.leaving) {
      this->hosts[host.runner] = host;
    }
  }
  std::erase_if(this->stats, [&](const auto& item) { return this->hosts.count(item.first) == 0; });
}

void call_dispatcher::set_share(const team_id& team, std::int64_t share, bool limited) {
  const std::lock_guard guard(this->lock);
  this->queues[team].share = share;
  this->queues[team].limited = limited;
}

void call_dispatcher::submit(call_request call, std::int64_t max_waiting, reply<call_answer> done) {
  auto p = std::make_shared<pending>();
  p->call = std::move(call);
  p->done = std::move(done);
  p->queued = this->time.now();
  if (this->admit(p, max_waiting)) {
    this->dispatch_waiting();
  } else {
    p->done(not_run(error_code::overloaded, "the team's queue on this daemon is full"));
  }
}

bool call_dispatcher::admit(const pending_ptr& p, std::int64_t max_waiting) {
  const std::lock_guard guard(this->lock);
  team_queue& queue = this->queues[p->call.team];
  if (static_cast<std::int64_t>(queue.waiting.size()) >= max_waiting) {
    ++this->counters.refused;
    return false;
  }
  ++this->counters.admitted;
  this->retries.on_call();
  queue.waiting.push_back(p);
  return true;
}

void call_dispatcher::dispatch_waiting() {
  for (;;) {
    dispatch d;
    bool found = false;
    answers out;
    {
      const std::lock_guard guard(this->lock);
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

void call_dispatcher::release_slots(const dispatch& d, const result<runner_answer>& answer) {
  if (answer.has_value() || answer.error().effect == verdict::not_run) {
    this->slots.release(d.slots);
    return;
  }
  const std::lock_guard guard(this->lock);
  this->abandoned_calls.push_back(
      {this->time.now() + this->options.abandoned_release_delay, d.slots});
}

void call_dispatcher::release_abandoned(instant now) {
  std::erase_if(this->abandoned_calls, [&](const abandoned_call& a) {
    if (a.until > now) {
      return false;
    }
    this->slots.release(a.slots);
    return true;
  });
}

void call_dispatcher::expire(instant now, answers& out) {
  for (auto& [team, queue] : this->queues) {
    std::erase_if(queue.waiting, [&](const pending_ptr& p) {
      if (p->call.deadline > now) {
        return false;
      }
      ++this->counters.refused;
      out.emplace_back([p] {
        p->done(not_run(error_code::deadline_exceeded, "no runner was free before the deadline"));
      });
      return true;
    });
  }
}

// Selects the next call to send: teams are considered in ascending order of calls in progress per
// share, and the first whose oldest waiting call can get a runner is served.
bool call_dispatcher::next(instant now, dispatch& out) {
  std::vector<team_queue*> candidates;
  for (auto& [team, queue] : this->queues) {
    if (!queue.waiting.empty()) {
      candidates.push_back(&queue);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const team_queue* a, const team_queue* b) {
                     return a->in_progress * b->share < b->in_progress * a->share;
                   });
  for (team_queue* queue : candidates) {
    if (this->choose_runner(*queue->waiting.front(), *queue, now, out)) {
      out.call = queue->waiting.front();
      queue->waiting.pop_front();
      ++queue->in_progress;
      return true;
    }
  }
  return false;
}

bool call_dispatcher::choose_runner(pending& p, team_queue& queue, instant now, dispatch& out) {
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
    const auto score = std::make_tuple(tried(id), s.is_ejected(now), s.latency());
    if (best == nullptr || score < lowest) {
      best = &id;
      lowest = score;
    }
  }
  if (best == nullptr) {
    return false;
  }
  std::vector<std::string> subjects = {best->text};
  if (queue.limited) {
    subjects.push_back("team:" + p.call.team.text);
  }
  if (!this->slots.acquire(subjects)) {
    return false;
  }
  out.runner = *best;
  out.slots = std::move(subjects);
  out.timeout = this->try_timeout(p, *best, now);
  return true;
}

// The first try of an idempotent call gets only part of the time left if the pool has another
// runner, so that a second try there can still meet the deadline. Every other try gets all the time
// that is left.
millis call_dispatcher::try_timeout(const pending& p, const runner_id& runner, instant now) const {
  const millis left = p.call.deadline - now;
  if (!p.call.idempotent || p.tries > 0 || this->hosts.size() < 2) {
    return left;
  }
  const double latency = this->stats.at(runner).latency();
  const millis usual{static_cast<std::int64_t>(latency * this->options.first_try_latency_factor)};
  return std::min(left, std::max({usual, this->options.min_first_try_timeout, left / 2}));
}

void call_dispatcher::execute(const dispatch& d) {
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
  // While the call waited for a thread or the process was paused, the slot lease may have expired.
  // A call past its deadline is therefore not sent.
  const bool valid = this->time.now() < call.deadline && this->slots.newest_lease() != 0;
  const auto answer =
      valid ? this->port.call(d.runner, request)
            : result<runner_answer>(not_run(error_code::deadline_exceeded, "not sent in time"));
  const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - start;
  this->finish(d, answer, took.count());
}

bool call_dispatcher::may_retry(const dispatch& d, const failure& f, instant now) {
  const bool allowed = f.effect == verdict::not_run || d.call->call.idempotent;
  return allowed && d.call->call.deadline > now && this->retries.spend();
}

void call_dispatcher::finish(const dispatch& d, const result<runner_answer>& answer,
                             double latency_ms) {
  this->release_slots(d, answer);
  std::function<void()> notify;
  {
    const std::lock_guard guard(this->lock);
    const instant now = this->time.now();
    team_queue& queue = this->queues[d.call->call.team];
    --queue.in_progress;
    ++d.call->tries;
    d.call->tried.push_back(d.runner);
    if (answer.has_value()) {
      this->stats[d.runner].on_answer(latency_ms);
      ++this->counters.answered;
      notify = [&] { d.call->done(call_answer{answer.value(), d.runner, d.call->tries}); };
    } else {
      this->stats[d.runner].on_failure(now);
      if (this->may_retry(d, answer.error(), now)) {
        ++this->counters.retries;
        queue.waiting.push_front(d.call);
      } else {
        failure f = answer.error();
        const bool never_ran = f.effect == verdict::not_run && d.call->tries == 1;
        // If the last try did not run, an earlier try may have.
        f.effect = never_ran || !d.call->call.idempotent ? f.effect : verdict::may_have_run;
        ++(f.effect == verdict::not_run ? this->counters.refused : this->counters.may_have_run);
        notify = [&d, f] { d.call->done(f); };
      }
    }
  }
  if (notify) {
    notify();
  }
  this->dispatch_waiting();
}

void call_dispatcher::refuse_unless(const std::function<bool(const team_id&)>& keep) {
  std::vector<pending_ptr> refused;
  {
    const std::lock_guard guard(this->lock);
    for (auto& [team, queue] : this->queues) {
      if (!keep(team)) {
        for (const pending_ptr& p : queue.waiting) {
          if (p->tries == 0) {
            refused.push_back(p);
          }
        }
        std::erase_if(queue.waiting, [](const pending_ptr& p) { return p->tries == 0; });
      }
    }
  }
  for (const pending_ptr& p : refused) {
    p->done(not_run(error_code::unauthorized, "the key was withdrawn before the call started"));
  }
}

bool call_dispatcher::idle() const {
  const std::lock_guard guard(this->lock);
  return std::all_of(this->queues.begin(), this->queues.end(), [](const auto& item) {
    return item.second.waiting.empty() && item.second.in_progress == 0;
  });
}

call_dispatcher_counts call_dispatcher::counts() const {
  const std::lock_guard guard(this->lock);
  call_dispatcher_counts out = this->counters;
  for (const auto& [team, queue] : this->queues) {
    out.waiting += static_cast<std::int64_t>(queue.waiting.size());
  }
  return out;
}

}  // namespace monsoonmux
