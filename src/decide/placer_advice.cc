// Chooses the queries to the advice service. A query takes long and a daemon handles one
// at a time, so only the most urgent steps send one, about as many runners as the step
// needs, and shortly before it can start.

#include <algorithm>
#include <cmath>
#include <utility>

#include "decide/placer.h"

namespace monsoonmux::cell {
namespace {

// Tickets are renewed this much before the renewal is needed.
constexpr millis renewal_margin{100};

}  // namespace

// True if the step will be ready within query_ahead, according to the expected run time
// of the tasks that it waits for. A ticket that is queried for now is then still valid.
bool placer::soon_ready(const live_job& job, const live_occurrence& occurrence, std::int32_t step,
                        instant now) const {
  const queue_config* const queue = this->state.config.find_queue(job.submission().queue);
  if (queue == nullptr || !queue->advice) {
    return false;
  }
  const job_spec& spec = job.spec();
  for (const std::int32_t earlier : spec.steps[static_cast<std::size_t>(step)].depends_on) {
    const millis expected = this->state.run_times.expected(
        queue->name, spec.steps[static_cast<std::size_t>(earlier)].estimate);
    for (const live_task& task : occurrence.steps[static_cast<std::size_t>(earlier)].tasks) {
      if (task.phase == task_phase::done) {
        continue;
      }
      const millis left = task.placed_at + expected - now;
      if (task.phase == task_phase::waiting || left > this->options.query_ahead) {
        return false;
      }
    }
  }
  return true;
}

void placer::count_ending_runs(instant now) {
  this->ending_runs.clear();
  for (const auto& [id, runner] : this->state.runners.all()) {
    if (runner.runs_given_up_at == never) {
      continue;
    }
    for (const auto& [key, run] : runner.allocations) {
      this->ending_runs[key.task.in] += this->ends_soon(key, runner.runs_given_up_at - now) ? 1 : 0;
    }
  }
}

bool placer::ends_soon(const run_key& run, millis left) {
  const auto it = this->state.jobs.find(run.task.in.job);
  if (it == this->state.jobs.end()) {
    return false;
  }
  const queue_config* const queue = this->state.config.find_queue(it->second.submission().queue);
  const live_task* const task = it->second.find(run.task);
  const bool is_current =
      task != nullptr && task->phase == task_phase::placed && task->run == run.run;
  return is_current && queue != nullptr && queue->advice &&
         left <= this->ahead_of_end(*queue->advice);
}

millis placer::ahead_of_end(const advice_config& terms) const {
  const millis query_time{
      std::llround(terms.per_call_ms +
                   terms.per_runner_ms * static_cast<double>(this->options.runners_per_query))};
  const millis wanted =
      std::max(this->options.query_ahead, query_time * this->options.queries_ahead);
  const millis until_renewal =
      terms.ticket_lifetime - this->options.answer_delay - this->time_to_renew(terms);
  return std::min(wanted, query_time + std::max(until_renewal, millis{0}));
}

millis placer::time_to_renew(const advice_config& terms) const {
  const millis decide{static_cast<std::int64_t>(terms.per_call_ms)};
  return this->options.ticket_margin + decide + renewal_margin;
}

// A query is of use only where its tickets can be used before they expire. So the room that comes
// free in that time is dealt out in the order of urgency: to steps that hold tickets, to those
// whose query is under way, and to those that send one now. The others wait without a query.
query_state placer::query_advice(const waiting_step& step, instant now, plan& out) {
  if (step.advice == nullptr) {
    return query_state::not_needed;
  }
  if (this->queried.contains(step.ref)) {
    return query_state::planned;
  }
  if (step.advice->query_pending) {
    this->take_all_room(step, now);
    this->take_from_window(step);
    return query_state::pending;
  }
  if (!asks_without_room(step)) {
    const std::vector<expected_room> with_tickets = this->find_ticket_room(step, now);
    if (!with_tickets.empty()) {
      step.advice->wanted_since = never;
      this->take_room(step, with_tickets, now);
      return query_state::has_tickets;
    }
    if (this->find_room(step, 1, now).empty()) {
      step.advice->wanted_since = never;
      return query_state::no_room;
    }
  }
  const query_state state = this->send_query(step, now, out);
  // A step that waits for its turn will use the room then.
  if (state == query_state::window_full || state == query_state::round_full) {
    this->take_all_room(step, now);
  }
  this->take_from_window(step);
  return state;
}

void placer::take_all_room(const waiting_step& step, instant now) {
  this->take_room(step, this->find_room(step, tasks_to_query_for(step), now), now);
}

query_state placer::send_query(const waiting_step& step, instant now, plan& out) {
  if (now < step.advice->retry_at) {
    return query_state::put_back;
  }
  if (now < step.advice->no_runner_until[static_cast<std::size_t>(step.kept)]) {
    return query_state::no_runner;
  }
  pool_round::advice_use& use = this->advice_use_for(step);
  const double window = static_cast<double>(this->options.advice_window.value) *
                        static_cast<double>(this->state.advising_daemons);
  const std::size_t most = this->options.queries_per_daemon * this->state.advising_daemons;
  const bool window_full = use.time_ms + this->usual_query_ms(step) > window;
  if (window_full || use.queries >= most) {
    use.time_ms = window;
    step.advice->put_off(now);
    this->deferred.push_back(&step);
    ++out.deferred_queries;
    return window_full ? query_state::window_full : query_state::round_full;
  }
  return this->add_query(step, false, now, out);
}

// A step takes its usual query's time from the window while its query is under way.
void placer::take_from_window(const waiting_step& step) {
  const bool uses_service = step.advice->query_pending || this->queried.contains(step.ref);
  if (uses_service && this->in_window.insert(step.ref).second) {
    const bool out_of_turn = step.advice->query_pending && step.advice->pending_out_of_turn;
    step.round->pending_out_of_turn += out_of_turn ? 1 : 0;
    this->advice_use_for(step).time_ms += this->usual_query_ms(step);
  }
}

double placer::usual_query_ms(const waiting_step& step) const {
  const advice_config& terms = *step.queue->advice;
  const std::size_t named = std::min(step.round->runners.size(), this->options.runners_per_query);
  return terms.per_call_ms + terms.per_runner_ms * static_cast<double>(named);
}

placer::pool_round::advice_use& placer::advice_use_for(const waiting_step& step) {
  const bool is_long = this->usual_query_ms(step) > static_cast<double>(long_query_time.value);
  return is_long ? step.round->long_queries : step.round->short_queries;
}

query_state placer::add_query(const waiting_step& step, bool only_with_room, instant now,
                              plan& out) {
  const std::vector<query_candidate> chosen = this->runners_to_query(step, now);
  if (!chosen.empty() && only_with_room && chosen.front().starts <= 0) {
    return query_state::no_runner;
  }
  if (chosen.empty()) {
    const bool holds_ticket = step.advice->holds_ticket(now);
    step.advice->wanted_since = never;
    step.advice->no_runner_until[static_cast<std::size_t>(step.kept)] =
        now + (holds_ticket ? this->options.query_retry_delay : this->options.helpless_retry_delay);
    return query_state::no_runner;
  }
  this->take_room(step, this->room_on(step, chosen, now), now);
  ++this->advice_use_for(step).queries;
  this->queried.insert(step.ref);
  advice_query query{step.ref, *step.queue->advice, {}, step.pool};
  for (const query_candidate& each : chosen) {
    query.runners.push_back(each.runner->entry.id);
    query.has_room_now = query.has_room_now || each.starts > 0;
  }
  out.advice_queries.push_back(std::move(query));
  return query_state::planned;
}

// False if the runner is not of the kind that the step needs, if it is too small, or if it is
// taken up by runs that last: advice about it is of no use to the step.
bool placer::may_ever_start(const waiting_step& step, const runner_state& runner) const {
  const std::string& label = step.shape->required_label;
  if (!label.empty() && !runner.has_label(label)) {
    return false;
  }
  const resources need = allocated_resources(*step.shape);
  const bool alone_matters = step.kept == isolation::alone || runner.runs_kept_alone > 0;
  if (!alone_matters && need.fits(runner.free_capacity())) {
    return true;
  }
  resources left = runner.entry.capacity;
  for (const auto& [key, run] : runner.allocations) {
    const bool lasts = run.expected.value <= 0 && !run.stopping;
    if (!lasts) {
      continue;
    }
    left = left - run.capacity_used;
    const bool same_gang = step.shape->gang && key.task.in == step.ref;
    if (!same_gang && (step.kept == isolation::alone || run.kept == isolation::alone)) {
      return false;
    }
  }
  return need.fits(left);
}

std::size_t placer::tasks_to_query_for(const waiting_step& step) {
  return step.tasks.size() + step.soon_waiting;
}

double placer::starts_needed(const waiting_step& step) const {
  return static_cast<double>(tasks_to_query_for(step)) * this->options.spare_factor;
}

std::size_t placer::most_on_runner(const waiting_step& step) {
  const std::size_t most = step.shape->anti_affinity > 0
                               ? static_cast<std::size_t>(step.shape->anti_affinity)
                               : tasks_to_query_for(step);
  return step.kept == isolation::none || step.shape->gang ? most : 1;
}

// Returns how many of the step's tasks fit into the runner's free capacity now.
double placer::starts_that_fit(const waiting_step& step, const runner_state& runner) const {
  const resources each = allocated_resources(*step.shape);
  const std::size_t bound = most_on_runner(step);
  const resources free_capacity = runner.free_capacity();
  std::size_t fits = 0;
  for (resources taken = each; fits < bound && taken.fits(free_capacity); taken += each) {
    ++fits;
  }
  return static_cast<double>(fits);
}

}  // namespace monsoonmux::cell
