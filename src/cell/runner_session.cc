#include "cell/runner_session.h"

#include <algorithm>
#include <vector>

#include "cell/slow_clock.h"

namespace monsoonmux::cell {
namespace {

// For an order that was just being handled when its lease end passed.
constexpr millis lapse_margin{300};
// Answers overtake each other by less than this.
constexpr millis backward_tolerance{1'000};
// A lease is renewed at the latest this long after the last look.
constexpr millis renew_after{1'500};

millis lapse_time(millis lease) {
  return longest_real_time(lease) + lapse_margin;
}

}  // namespace

std::string_view to_string(order_status status) {
  switch (status) {
    case order_status::done:
      return "done";
    case order_status::fenced:
      return "fenced";
    case order_status::old_run:
      return "old_run";
    case order_status::late:
      return "late";
    case order_status::no_room:
      return "no_room";
    case order_status::no_ticket:
      return "no_ticket";
    case order_status::refused:
      return "refused";
    case order_status::other_instance:
      return "other_instance";
    case order_status::not_sent:
      return "not_sent";
    case order_status::unknown:
      return "unknown";
  }
  return "unknown";
}

runner_session::runner_session(runner_port& orders, const clock& now, event_log& out,
                               session_events& to, std::string name, epoch under,
                               instant inherited_until, const session_options& given)
    : port(orders),
      time(now),
      events(out),
      owner(to),
      id(std::move(name)),
      token(under),
      options(given),
      lapse_at(inherited_until) {}

runner_session::~runner_session() {
  *this->alive = false;
}

order_target runner_session::target() const {
  return {this->entry.address, this->id, this->token};
}

void runner_session::update(const runner_entry& next) {
  const bool other_life =
      this->entry.incarnation != 0 && next.incarnation != this->entry.incarnation;
  this->entry = next;
  this->listed = true;
  if (this->clock_at == instant{0} || other_life) {
    this->note_clock(next.clock_ms);
  }
  if (other_life && next.incarnation != this->incarnation) {
    this->admitted = false;
    this->announced = false;
    this->life_unsure = true;
  }
  this->look();
}

void runner_session::recover(const run_key& run) {
  link& l = this->runs[run];
  l.recovered = true;
}

// A lower bound of the runner's clock.
std::int64_t runner_session::clock_now() const {
  const millis since = this->time.now() - this->clock_at;
  return this->clock_ms + shortest_runner_time(since).value;
}

std::int64_t runner_session::lease_until() const {
  return this->clock_now() + this->options.hold_max.value;
}

void runner_session::note_clock(std::int64_t clock) {
  this->clock_ms = clock;
  this->clock_at = this->time.now();
}

void runner_session::note_clock(const order_answer& answer) {
  if (!answer.clock_ms) {
    return;
  }
  if (this->admitted && *answer.clock_ms < this->clock_now() - backward_tolerance.value) {
    this->life_unsure = true;  // Clocks do not go back within one life.
  }
  this->note_clock(*answer.clock_ms);
}

void runner_session::look() {
  const bool wanted = !this->runs.empty() || !this->announced || this->seen > this->stored;
  if (this->look_in_flight || !wanted || !this->reachable()) {
    return;
  }
  const instant now = this->time.now();
  const bool ends_unstored = this->seen > this->stored;
  if (now < this->next_look ||
      (ends_unstored && this->admitted && now - this->last_look < renew_after)) {
    return;
  }
  hold_order order;
  order.target = this->target();
  // A new life numbers its ends anew; a number of the former one would have it
  // forget ends that nobody has seen.
  order.last_seen = this->life_unsure || this->idle_before ? 0 : this->stored;
  const bool calm = this->admitted && !ends_unstored && !this->life_unsure;
  order.wait = calm && !this->runs.empty() ? this->options.look_wait : millis{0};
  if (this->admitted && !this->life_unsure) {
    order.until_ms = this->lease_until();
    this->lapse_at = std::max(this->lapse_at, now + lapse_time(this->options.hold_max));
  }
  this->look_in_flight = true;
  this->last_look = now;
  this->port.hold(order, [this, now, a = this->alive](const hold_answer& answer) {
    if (*a) {
      this->look_in_flight = false;
      this->looked(answer, now);
    }
  });
}

void runner_session::looked(const hold_answer& answer, instant sent) {
  if (answer.status == order_status::done) {
    this->failed_looks = 0;
    this->report(answer.report, sent);
    this->look();
    return;
  }
  if (answer.status == order_status::fenced) {
    this->owner.token_refused(this->id);
    return;
  }
  this->life_unsure = true;
  if (++this->failed_looks == 1) {
    this->events.write("runner_silent",
                       {{"runner", this->id}, {"status", to_string(answer.status)}});
    this->announced = false;
    this->owner.runner_silent(this->id);
  }
  if (answer.status == order_status::other_instance) {
    this->admitted = false;
  }
  this->next_look =
      this->time.now() + (this->failed_looks > 2 ? this->options.lost_probe : this->options.retry);
}

void runner_session::report(const hold_report& report, instant sent) {
  this->note_clock(report.clock_ms);
  if (this->incarnation != 0 && report.incarnation != this->incarnation) {
    this->reborn(report.incarnation);
  }
  this->incarnation = report.incarnation;
  this->admitted = true;
  this->life_unsure = false;
  this->idle_before = false;
  if (!this->announced) {
    this->announced = true;
    this->owner.runner_admitted(this->id, report.incarnation);
  }
  this->take_ends(report);
  this->take_running(report);
  this->close_missing(report, sent);
}

// What ran in the former life is over, but a start may have reached the new one
// already. The report that follows tells which: close_missing() takes the others.
void runner_session::reborn(std::int64_t now_born) {
  this->events.write("runner_reborn", {{"runner", this->id}, {"born", now_born}});
  this->seen = 0;
  this->stored = 0;
  this->unstored.clear();
  this->announced = false;
}

void runner_session::take_ends(const hold_report& report) {
  for (const finished_run& end : report.finished) {
    if (end.number <= this->seen) {
      continue;
    }
    this->seen = end.number;
    this->unstored.insert(end.number);
    const auto task = parse_task_ref(end.task);
    const run_key run{task.value_or(task_ref{}), end.run};
    this->runs.erase(run);
    this->owner.run_ended(this->id, run, end.how, end.checkpoint, end.number);
  }
}

void runner_session::take_running(const hold_report& report) {
  for (const running_run& running : report.running) {
    const auto task = parse_task_ref(running.task);
    if (!task) {
      continue;
    }
    const run_key run{*task, running.run};
    const auto it = this->runs.find(run);
    if (it == this->runs.end()) {
      // Nobody decided that it should run, or that it still should.
      link& l = this->runs[run];
      l.stopping = true;
      this->events.write("foreign_run_stopped",
                         {{"runner", this->id}, {"task", running.task}, {"run", running.run}});
      this->send_stop(run);
      continue;
    }
    it->second.recovered = false;
    if (it->second.answered_at == instant{0}) {
      it->second.answered_at = this->time.now();
    }
    if (!running.checkpoint.empty()) {
      this->owner.checkpoint_seen(this->id, run, running.checkpoint);
    }
  }
}

bool runner_session::lists(const hold_report& report, const run_key& run) {
  const std::string name = run.task.text();
  return std::any_of(report.running.begin(), report.running.end(),
                     [&name, &run](const running_run& running) {
                       return running.run == run.run && running.task == name;
                     });
}

void runner_session::close_missing(const hold_report& report, instant sent) {
  std::vector<run_key> missing;
  for (const auto& [run, l] : this->runs) {
    const bool answered_before = l.answered_at != instant{0} && l.answered_at < sent;
    if (!l.recovered && !answered_before) {
      continue;
    }
    if (!lists(report, run)) {
      missing.push_back(run);
    }
  }
  // Ends come at most 500 at a time; one that is still to come is not missing.
  constexpr std::size_t ends_per_report = 500;
  if (report.finished.size() >= ends_per_report) {
    return;
  }
  for (const run_key& run : missing) {
    this->runs.erase(run);
    this->owner.run_gone(this->id, run, "not_there");
  }
}

void runner_session::start(const run_key& run, std::string payload, std::string ticket,
                           std::string checkpoint) {
  this->idle_before = this->idle_before || this->runs.empty();
  link& l = this->runs[run];
  l.order.task = run.task.text();
  l.order.run = run.run;
  l.order.payload = std::move(payload);
  l.order.ticket = std::move(ticket);
  l.order.checkpoint = std::move(checkpoint);
  this->send_start(run);
}

void runner_session::send_start(const run_key& run) {
  link& l = this->runs.at(run);
  ++l.tries;
  l.next_try = never;
  l.order.target = this->target();
  l.order.until_ms = this->lease_until();
  this->lapse_at = std::max(this->lapse_at, this->time.now() + lapse_time(this->options.hold_max));
  this->port.start(l.order, [this, run, a = this->alive](const order_answer& answer) {
    if (*a) {
      this->started(run, answer);
    }
  });
}

void runner_session::started(const run_key& run, const order_answer& answer) {
  this->note_clock(answer);
  const auto it = this->runs.find(run);
  if (it == this->runs.end()) {
    return;
  }
  link& l = it->second;
  switch (answer.status) {
    case order_status::done:
    case order_status::old_run:
      l.answered_at = this->time.now();
      this->look();
      return;
    case order_status::fenced:
      this->owner.token_refused(this->id);
      return;
    case order_status::unknown:
      ++l.unanswered;
      break;
    case order_status::not_sent:
      break;
    case order_status::no_ticket:
      this->owner.ticket_refused(this->id, run);
      this->start_refused(run, l, to_string(answer.status));
      return;
    default:
      this->start_refused(run, l, to_string(answer.status));
      return;
  }
  if (l.stopping) {
    return;
  }
  if (l.tries < this->options.start_tries) {
    l.next_try = this->time.now() + this->options.retry;
    return;
  }
  this->start_refused(run, l, to_string(answer.status));
}

// The last try did nothing. If an earlier one may still come to pass, the run has
// to be closed first.
void runner_session::start_refused(const run_key& run, link& l, std::string_view why) {
  if (l.unanswered > 0) {
    l.stopping = true;
    this->send_stop(run);
    return;
  }
  this->runs.erase(run);
  this->owner.run_gone(this->id, run, why);
}

void runner_session::stop(const run_key& run) {
  const auto it = this->runs.find(run);
  if (it == this->runs.end() || it->second.stopping) {
    return;
  }
  it->second.stopping = true;
  this->send_stop(run);
}

void runner_session::send_stop(const run_key& run) {
  link& l = this->runs.at(run);
  if (l.stop_in_flight || !this->reachable()) {
    l.next_try = this->time.now() + this->options.retry;
    return;
  }
  l.stop_in_flight = true;
  l.next_try = never;
  const stop_order order{this->target(), run.task.text(), run.run};
  this->port.stop(order, [this, run, a = this->alive](const order_answer& answer) {
    if (!*a) {
      return;
    }
    this->note_clock(answer);
    const auto it = this->runs.find(run);
    if (it == this->runs.end()) {
      return;
    }
    it->second.stop_in_flight = false;
    if (answer.status == order_status::done || answer.status == order_status::old_run) {
      it->second.stop_answered = true;
      it->second.answered_at = this->time.now();
      this->look();
      return;
    }
    if (answer.status == order_status::fenced) {
      this->owner.token_refused(this->id);
      return;
    }
    it->second.next_try = this->time.now() + this->options.retry;
  });
}

void runner_session::end_stored(std::int64_t number) {
  if (this->unstored.erase(number) == 0) {
    return;  // Of a former incarnation.
  }
  this->stored = this->unstored.empty() ? this->seen : *this->unstored.begin() - 1;
  this->look();
}

void runner_session::tick() {
  const instant now = this->time.now();
  std::vector<run_key> due;
  for (const auto& [run, l] : this->runs) {
    if (l.next_try <= now && (l.stopping || l.tries > 0)) {
      due.push_back(run);
    }
  }
  for (const run_key& run : due) {
    link& l = this->runs.at(run);
    if (l.stopping && !l.stop_answered) {
      this->send_stop(run);
    } else if (!l.stopping && l.answered_at == instant{0}) {
      this->send_start(run);
    }
  }
  this->look();
  if (this->failed_looks > 0 || !this->reachable() || !this->admitted) {
    this->lose_lapsed();
  }
}

void runner_session::lose_lapsed() {
  if (this->time.now() < this->lapse_at || this->runs.empty()) {
    return;
  }
  this->admitted = false;
  std::vector<run_key> over;
  for (const auto& [run, l] : this->runs) {
    over.push_back(run);
  }
  this->runs.clear();
  for (const run_key& run : over) {
    this->owner.run_gone(this->id, run, "lease_lapsed");
  }
}

}  // namespace monsoonmux::cell
