// Runners are chosen greedily (best fit): tasks with accelerators get the fullest runner
// that still fits, so that whole runners stay free for gangs; other tasks get the emptiest,
// since tasks on one runner slow each other down. An exact packing was not tried: a round
// has to end within milliseconds on a quarter of a core, and the next one follows as soon
// as any run ends.

#include "decide/placer.h"

#include <algorithm>
#include <tuple>

namespace monsoonmux::cell {
namespace {

// Terms of a runner's score; the lowest score wins. A rack without the task's data
// outweighs any packing, and a runner on which the task failed last outweighs both.
constexpr double rack_mismatch_penalty = 10;
constexpr double failed_here_penalty = 100;
// A runner whose runs take long may be slow, or have got the long work.
constexpr double may_be_slow_penalty = 5;
// For work with little slack, a runner that takes a third longer ranks after any faster
// one, however full that is. Work with much slack leaves the fast runners free.
constexpr double tight_slowdown_weight = 3;
constexpr double relaxed_slowdown_weight = 0.5;
// Work is relaxed if its slack exceeds this many times its expected duration.
constexpr std::int64_t relaxed_slack_factor = 3;

double free_fraction(std::int64_t free_capacity, std::int64_t capacity) {
  return capacity > 0 ? static_cast<double>(free_capacity) / static_cast<double>(capacity) : 0;
}

resources largest_of(const resources& a, const resources& b) {
  return {std::max(a.cpu, b.cpu), std::max(a.memory, b.memory),
          std::max(a.accelerators, b.accelerators)};
}

}  // namespace

std::string_view to_string(query_state state) {
  switch (state) {
    case query_state::not_needed:
      return "not_needed";
    case query_state::planned:
      return "planned";
    case query_state::no_room:
      return "no_room";
    case query_state::has_tickets:
      return "has_tickets";
    case query_state::pending:
      return "pending";
    case query_state::put_back:
      return "put_back";
    case query_state::no_runner:
      return "no_runner";
    case query_state::window_full:
      return "window_full";
    case query_state::round_full:
      return "round_full";
  }
  return "";
}

planning_work& planning_work::operator+=(const planning_work& other) {
  this->steps += other.steps;
  this->handled += other.handled;
  this->placing += other.placing;
  this->reserving += other.reserving;
  this->querying += other.querying;
  return *this;
}

placer::placer(cell_state& cell, const placer_options& given) : state(cell), options(given) {}

plan placer::decide(instant now, std::int64_t wall_ms) {
  this->pools.clear();
  this->sendable_bytes = this->state.sendable_bytes;
  this->reservations.clear();
  this->previous_reservations.swap(this->new_reservations);
  this->new_reservations.clear();
  this->held_since.swap(this->still_held);
  this->still_held.clear();
  this->deferred.clear();
  this->queried.clear();
  this->in_window.clear();
  this->steps.clear();
  this->special.clear();
  this->work = {};
  this->explained_interrupted = 0;
  this->by_number.assign(this->state.runner_names->size(), {});
  for (auto& [id, runner] : this->state.runners.all()) {
    if (!runner.listed && runner.allocations.empty()) {
      continue;  // Lost; some ids never come back.
    }
    pool_round& round = this->pools[runner.entry.pool.text];
    this->by_number[runner.number.value] = {&runner, &round, round.runners.size()};
    round.max_blocked = this->options.max_blocked_steps;
    round.runners.push_back(&runner);
    // Until a runner has answered, nothing but its entry tells that it has this capacity.
    if (runner.listed && runner.admitted) {
      round.largest = largest_of(round.largest, runner.entry.capacity);
    }
  }
  this->count_ending_runs(now);
  plan out;
  out.waiting_tasks = this->collect(now, wall_ms);
  while (waiting_step* const step = this->next_step()) {
    this->handle_step(*step, now, out);
  }
  this->place_skipped_steps(now, out);
  this->query_out_of_turn(now, out);
  order_queries(out);
  this->work.handled = static_cast<std::int64_t>(this->steps.size());
  out.work = this->work;
  for (const auto& [pool, round] : this->pools) {
    out.queries_by_pool[pool] = round.queries_of_blocked;
  }
  return out;
}

std::vector<std::int32_t> placer::tasks_to_place(const step_ref& ref, const live_step& step) const {
  const bool any_untracked = this->state.runners.has_untracked_runs();
  std::vector<std::int32_t> out;
  for (std::size_t t = 0; t < step.tasks.size(); ++t) {
    const auto index = static_cast<std::int32_t>(t);
    const live_task& task = step.tasks[t];
    if (task.phase == task_phase::waiting && !task.held &&
        !(any_untracked && this->state.runners.has_untracked_run({ref, index}))) {
      out.push_back(index);
    }
  }
  return out;
}

instant placer::interrupted_since(const step_spec& shape, const live_step& step,
                                  const std::vector<std::int32_t>& tasks) {
  instant first = never;
  for (const std::int32_t index : tasks) {
    const live_task& task = step.tasks[static_cast<std::size_t>(index)];
    if (is_interrupted(shape, task)) {
      first = std::min(first, task.waits_since);
    }
  }
  return first;
}

bool placer::add_ending_tasks(waiting_step& waiting, const live_step& step, bool is_gang) const {
  const auto ending = this->ending_runs.find(waiting.ref);
  waiting.soon_waiting = ending != this->ending_runs.end() ? ending->second : 0;
  const std::size_t placed = step.tasks.size() - waiting.tasks.size();
  // A gang starts again only when the runs of all its members have ended.
  const bool can_start = !waiting.tasks.empty() && (!is_gang || placed == 0);
  if (is_gang && waiting.soon_waiting > 0) {
    waiting.soon_waiting = placed;
  }
  waiting.query_only = waiting.query_only || !can_start;
  return can_start || waiting.soon_waiting > 0;
}

bool placer::is_interrupted(const step_spec& shape, const live_task& task) {
  return shape.long_running && task.phase == task_phase::waiting && task.waits_since != never;
}

void placer::split(waiting_step step, const live_step& tasks, std::vector<waiting_step>& out) {
  // True while a task of the step that is to be alone has a run.
  const bool tried_alone =
      std::any_of(tasks.tasks.begin(), tasks.tasks.end(), [](const live_task& task) {
        return task.phase == task_phase::placed && isolation_of(task) == isolation::alone;
      });
  // The members of a gang start together, whether they had a run or not.
  const bool gang_interrupted =
      step.shape->gang && interrupted_since(*step.shape, tasks, step.tasks) != never;
  bool any_alone = tried_alone;
  std::map<std::pair<urgency_class, isolation>, std::vector<std::int32_t>> parts;
  for (const std::int32_t index : step.tasks) {
    const live_task& task = tasks.tasks[static_cast<std::size_t>(index)];
    const isolation kept = isolation_of(task);
    // One at a time: if it is given up, so is its job, and the others need no runner of their own.
    if (kept == isolation::alone && !step.shape->gang && std::exchange(any_alone, true)) {
      continue;
    }
    const bool interrupted = gang_interrupted || is_interrupted(*step.shape, task);
    parts[{interrupted ? urgency_class::interrupted : step.order.kind, kept}].push_back(index);
  }
  if (parts.empty()) {
    step.tasks.clear();
    step.query_only = true;
    out.push_back(std::move(step));
    return;
  }
  for (auto& [key, indices] : parts) {
    waiting_step part = step;
    step.soon_waiting = 0;  // Counts once.
    part.order.kind = key.first;
    part.kept = key.second;
    part.tasks = std::move(indices);
    part.interrupted_since = interrupted_since(*part.shape, tasks, part.tasks);
    out.push_back(std::move(part));
  }
}

void placer::place_step(waiting_step& step, instant now, plan& out) {
  if (this->sendable_bytes <= 0) {
    return;  // Waits for the link, not for runners.
  }
  pool_round& round = *step.round;
  if (round.blocked >= round.max_blocked) {
    round.skipped.push_back(&step);
    return;
  }
  if (step.queue != nullptr && step.queue->advice) {
    step.advice = &this->state.advice.entry_for(step.ref);
  }
  this->find_candidates(step, now);
  if (step.kept == isolation::alone && !this->can_be_alone(step)) {
    step.kept = isolation::apart;
  }
  const bool done =
      step.shape->gang ? this->place_gang(step, now, out) : this->place_tasks(step, now, out);
  if (done) {
    if (step.advice != nullptr) {
      step.advice->wanted_since = never;
    }
    if (step.soon_waiting > 0) {
      this->query_advice(step, now, out);
    }
    return;
  }
  if (step.shape->long_running) {
    const auto held = this->held_since.find(step.ref);
    this->still_held.emplace(step.ref, held != this->held_since.end() ? held->second : now);
  }
  if (this->may_reserve(step) && !this->reserve_runners(step, now, out) &&
      this->may_learn_runners(step)) {
    ++round.learning_steps;
    step.lacks_runners_to_reserve = true;
  }
  const bool explained = this->is_to_explain(step);
  if (explained) {
    out.reasons.push_back(this->explain(step, now));
  }
  ++round.blocked;
  const query_state state = this->query_advice(step, now, out);
  ++round.queries_of_blocked[static_cast<std::size_t>(state)];
  if (explained) {
    out.reasons.back().query = state;
  }
}

void placer::find_candidates(waiting_step& step, instant now) {
  if (step.advice == nullptr) {
    step.candidates = step.round->runners;
    return;
  }
  const instant needed_until = now + this->options.ticket_margin;
  for (const advice_cache::known_runner& known : step.advice->known) {
    runner_state* const runner =
        known.ticket_until > needed_until ? this->runner_of(known, step) : nullptr;
    if (runner != nullptr) {
      step.candidates.push_back(runner);
    }
  }
}

bool placer::place_tasks(waiting_step& step, instant now, plan& out) {
  live_occurrence& occurrence = step.job->occurrences().at(step.ref.occurrence);
  live_step& tasks = occurrence.steps[static_cast<std::size_t>(step.ref.step)];
  const std::vector<std::int32_t> waiting = std::move(step.tasks);
  step.tasks.clear();
  for (auto index = waiting.begin(); index != waiting.end(); ++index) {
    if (this->sendable_bytes <= 0 ||
        !this->state.teams.fits(this->state.config, step.job->submission().team,
                                step.shape->need)) {
      return true;
    }
    const choice best =
        this->best_runner(step, tasks.tasks[static_cast<std::size_t>(*index)], now, {});
    if (best.runner == nullptr) {
      step.tasks.assign(index, waiting.end());
      return false;
    }
    const std::int32_t run = step.job->next_run({step.ref, *index});
    this->allocate(step, *index, run, *best.runner, now);
    out.placements.push_back(this->record(step, *index, run, *best.runner, now));
  }
  return true;
}

bool placer::place_gang(const waiting_step& step, instant now, plan& out) {
  const auto members = static_cast<std::int64_t>(step.tasks.size());
  if (!this->state.teams.fits(this->state.config, step.job->submission().team,
                              step.shape->need * members)) {
    return true;  // Waits for its team's quota, not for runners.
  }
  // If the gang prefers a single rack, tries each rack first; then any mix of racks.
  std::vector<std::string> racks;
  if (step.shape->same_rack) {
    for (const runner_state* runner : step.candidates) {
      racks.push_back(runner->entry.rack);
    }
    std::sort(racks.begin(), racks.end());
    racks.erase(std::unique(racks.begin(), racks.end()), racks.end());
  }
  racks.emplace_back();
  live_occurrence& occurrence = step.job->occurrences().at(step.ref.occurrence);
  live_step& tasks = occurrence.steps[static_cast<std::size_t>(step.ref.step)];
  const std::int32_t run = step.job->next_run({step.ref, 0});
  for (const std::string& rack : racks) {
    std::vector<runner_state*> chosen;
    for (const std::int32_t index : step.tasks) {
      const live_task& task = tasks.tasks[static_cast<std::size_t>(index)];
      runner_state* const runner = this->best_runner(step, task, now, rack).runner;
      if (runner == nullptr) {
        break;
      }
      this->allocate(step, index, run, *runner, now);
      chosen.push_back(runner);
    }
    if (chosen.size() == step.tasks.size()) {
      for (std::size_t i = 0; i < chosen.size(); ++i) {
        out.placements.push_back(this->record(step, step.tasks[i], run, *chosen[i], now));
      }
      return true;
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
      this->release(step, step.tasks[i], run, *chosen[i]);
    }
  }
  return false;
}

bool placer::is_to_explain(const waiting_step& step) {
  if (step.interrupted_since != never &&
      this->explained_interrupted < this->options.max_explained_interrupted_steps) {
    ++this->explained_interrupted;
    return true;
  }
  return step.round->blocked < this->options.max_explained_steps;
}

waiting_reason placer::explain(const waiting_step& step, instant now) {
  waiting_reason out;
  out.step = step.ref;
  out.tasks = step.tasks.size();
  out.given_up = step.order.kind == urgency_class::given_up;
  out.interrupted_since = step.interrupted_since;
  if (step.advice != nullptr) {
    out.queries = step.advice->queries;
    out.query_wait = step.advice->waited(now);
  }
  for (const runner_state* runner : step.round->runners) {
    if (!runner->takes_work(now)) {
      ++out.takes_no_work;
    } else if (this->blocked_by_reservation(step, *runner, now)) {
      ++out.claimed;
    } else if (!allocated_resources(*step.shape).fits(runner->free_capacity())) {
      ++out.no_room;
    } else if (!this->permitted(step, *runner) || !may_share(step, *runner)) {
      ++out.not_permitted;
    } else if (step.advice != nullptr && !step.advice->asked(runner->number)) {
      ++out.not_asked;
    } else if (step.advice != nullptr && !step.advice->known_good(runner->number)) {
      ++out.not_good;
    } else if (step.advice != nullptr &&
               step.advice->ticket_for(runner->number, now + this->options.ticket_margin) ==
                   nullptr) {
      ++out.no_ticket;
    }
  }
  return out;
}

bool placer::permitted(const waiting_step& step, const runner_state& runner) const {
  if (!step.shape->required_label.empty() && !runner.has_label(step.shape->required_label)) {
    return false;
  }
  // Best-effort tasks would add latency for the users of latency-sensitive ones.
  if ((step.shape->best_effort && runner.latency_sensitive_runs > 0) ||
      (step.shape->latency_sensitive() && runner.best_effort_runs > 0)) {
    return false;
  }
  if (step.shape->anti_affinity > 0) {
    const task_ref first{step.ref, 0};
    std::int32_t same = 0;
    for (auto it = runner.allocations.lower_bound({first, 0});
         it != runner.allocations.end() && it->first.task.in == step.ref; ++it) {
      ++same;
    }
    return same < step.shape->anti_affinity;
  }
  return true;
}

bool placer::may_share(const waiting_step& step, const runner_state& runner) {
  if (step.kept == isolation::none) {
    return runner.runs_kept_alone == 0;
  }
  return std::all_of(runner.allocations.begin(), runner.allocations.end(), [&](const auto& entry) {
    const bool same_gang = step.shape->gang && entry.first.task.in == step.ref;
    const isolation other = entry.second.kept;
    const bool apart =
        step.kept == isolation::alone || other == isolation::alone || other == isolation::apart;
    return same_gang || !apart;
  });
}

bool placer::can_be_alone(const waiting_step& step) {
  std::size_t fits = 0;
  for (const runner_state* runner : this->good_runners(step)) {
    ++this->work.placing;
    const bool usable = runner->listed && !runner->entry.draining && this->permitted(step, *runner);
    const bool lasts =
        std::any_of(runner->allocations.begin(), runner->allocations.end(), [](const auto& entry) {
          return entry.second.expected.value <= 0 && !entry.second.stopping;
        });
    fits += usable && !lasts ? this->members_that_fit(step, *runner) : 0;
  }
  return fits >= (step.shape->gang ? step.tasks.size() : 1);
}

std::vector<runner_state*> placer::good_runners(const waiting_step& step) {
  if (step.advice == nullptr) {
    return step.round->runners;
  }
  std::vector<runner_state*> out;
  for (const advice_cache::known_runner& known : step.advice->known) {
    runner_state* const runner = known.good ? this->runner_of(known, step) : nullptr;
    if (runner != nullptr) {
      out.push_back(runner);
    }
  }
  return out;
}

runner_state* placer::runner_of(const advice_cache::known_runner& known,
                                const waiting_step& step) const {
  const std::size_t number = known.runner.value;
  const bool is_known = number < this->by_number.size();
  return is_known && this->by_number[number].pool == step.round ? this->by_number[number].runner
                                                                : nullptr;
}

bool placer::may_take(const waiting_step& step, const runner_state& runner, instant now) const {
  if (!runner.takes_work(now) || !allocated_resources(*step.shape).fits(runner.free_capacity()) ||
      !this->permitted(step, runner) || !may_share(step, runner) ||
      this->blocked_by_reservation(step, runner, now)) {
    return false;
  }
  if (step.shape->best_effort && runner.free_capacity().cpu < step.shape->need.cpu) {
    return false;  // The task would get almost no processor time there.
  }
  return true;
}

double placer::score(const waiting_step& step, const live_task& task,
                     const runner_state& runner) const {
  const resources free_capacity = runner.free_capacity();
  double score = 0;
  if (!step.shape->affinity_rack.empty() && !runner.has_label(step.shape->affinity_rack)) {
    score += rack_mismatch_penalty;
  }
  if (task.last_failed_on == runner.entry.id) {
    score += failed_here_penalty;
  }
  if (runner.may_be_slow) {
    score += may_be_slow_penalty;
  }
  const bool relaxed = step.order.slack > this->expected_time(step) * relaxed_slack_factor;
  score += (relaxed ? relaxed_slowdown_weight : tight_slowdown_weight) *
           this->state.run_times.slowdown(runner.entry.id);
  if (step.shape->need.accelerators.value > 0) {
    return score + free_fraction(free_capacity.accelerators.value,
                                 runner.entry.capacity.accelerators.value);
  }
  return score - free_fraction(free_capacity.cpu.value, runner.entry.capacity.cpu.value);
}

placer::choice placer::best_runner(const waiting_step& step, const live_task& task, instant now,
                                   const std::string& only_rack) {
  choice best;
  for (runner_state* runner : step.candidates) {
    ++this->work.placing;
    if ((!only_rack.empty() && runner->entry.rack != only_rack) ||
        !this->may_take(step, *runner, now)) {
      continue;
    }
    const double value = this->score(step, task, *runner);
    if (best.runner == nullptr || value < best.score) {
      best = {runner, value};
    }
  }
  return best;
}

millis placer::expected_time(const waiting_step& step) const {
  if (step.shape->long_running) {
    return millis{0};
  }
  return this->state.run_times.expected(step.job->submission().queue, step.shape->estimate);
}

void placer::allocate(const waiting_step& step, std::int32_t index, std::int32_t run,
                      const runner_state& runner, instant now) {
  const team_id& team = step.job->submission().team;
  allocation entry = make_allocation(this->state, *step.job, {step.ref, index}, run, now);
  entry.slack = step.order.slack;
  this->state.runners.add(runner.entry.id, entry);
  this->state.teams.add(team, step.shape->need);
}

void placer::release(const waiting_step& step, std::int32_t index, std::int32_t run,
                     const runner_state& runner) {
  this->state.runners.remove(runner.entry.id, {{step.ref, index}, run});
  this->state.teams.remove(step.job->submission().team, step.shape->need);
}

placement placer::record(const waiting_step& step, std::int32_t index, std::int32_t run,
                         const runner_state& runner, instant now) {
  const task_ref task{step.ref, index};
  placement out{task, run, runner.entry.id, runner.entry.incarnation, {}, {}};
  out.ticket = this->state.advice.ticket_for(step.ref, runner.entry.id, now).text;
  out.checkpoint = step.job->checkpoint_of(task);
  this->sendable_bytes -= start_command_bytes(step.job->spec().payload);
  step.job->place(task, run, runner.entry.id, runner.entry.incarnation, now);
  if (step.round->outlook != nullptr) {
    step.round->outlook->place(this->by_number[runner.number.value].index,
                               allocated_resources(*step.shape));
  }
  step.job->find(task)->alone = step.kept == isolation::alone;
  return out;
}

}  // namespace monsoonmux::cell
