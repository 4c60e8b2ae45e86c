// Reservations. Tasks that need much of a runner would starve beside a stream of small
// ones, which take all capacity that becomes free; so a few of the most urgent large steps
// reserve the runners that will have the capacity for them first. To keep a reserved runner
// from idling, work that ends early enough may still run there (backfill), and resumable
// work of less urgent queues runs there until the reserving step can start, and is
// preempted then.

#include <algorithm>
#include <tuple>
#include <utility>

#include "decide/placer.h"

namespace monsoonmux::cell {

std::size_t placer::members_that_fit(const waiting_step& step, const runner_state& runner) const {
  const resources each = allocated_resources(*step.shape);
  std::size_t fits = 0;
  resources taken = each;
  while (fits < step.tasks.size() && taken.fits(runner.entry.capacity)) {
    ++fits;
    taken += each;
  }
  return fits;
}

bool placer::is_preemptible(const allocation& run, const waiting_step& step) const {
  return run.resumable && step.order.priority < run.priority &&
         run.slack >= this->options.max_preempted_wait;
}

instant placer::fits_at(const runner_state& runner, const resources& need, const waiting_step& step,
                        instant now, overdue_runs overdue) const {
  resources free_capacity = runner.free_capacity();
  if (need.fits(free_capacity)) {
    return now;
  }
  std::vector<std::pair<instant, resources>> ends;
  for (const auto& [key, run] : runner.allocations) {
    const bool stops_soon = run.stopping || is_preemptible(run, step);
    const instant end =
        overdue == overdue_runs::may_end_now ? run.earliest_end(now) : run.expected_end(now);
    ends.emplace_back(stops_soon ? now + this->options.stop_time : end, run.capacity_used);
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [end, freed] : ends) {
    free_capacity += freed;
    if (need.fits(free_capacity)) {
      return end;
    }
  }
  return never;
}

// Returns as many candidates as the step's tasks need: first those that the step reserved
// in the last round, then those that have the free capacity earliest. Returns none for a
// gang that needs more than all candidates.
std::vector<placer::share> placer::earliest_shares(std::vector<share> candidates,
                                                   const waiting_step& step) const {
  std::size_t members = step.tasks.size();
  std::erase_if(candidates, [](const share& part) { return part.fits_at == never; });
  const auto before = this->previous_reservations.find(step.ref);
  for (share& part : candidates) {
    part.was_reserved = before != this->previous_reservations.end() &&
                        std::find(before->second.begin(), before->second.end(),
                                  part.runner->number) != before->second.end();
  }
  std::stable_sort(candidates.begin(), candidates.end(), [&](const share& a, const share& b) {
    return std::tuple(!a.was_reserved, a.fits_at, b.runner->free_capacity().accelerators) <
           std::tuple(!b.was_reserved, b.fits_at, a.runner->free_capacity().accelerators);
  });
  const resources each = allocated_resources(*step.shape);
  std::vector<share> chosen;
  for (const share& part : candidates) {
    if (members == 0) {
      break;
    }
    std::size_t fitting = 0;
    for (resources taken = each; taken.fits(part.need) && fitting < members; taken += each) {
      ++fitting;
    }
    fitting = std::min(fitting, step.kept == isolation::alone && !step.shape->gang ? 1 : members);
    members -= fitting;
    chosen.push_back(part);
  }
  return members == 0 || !step.shape->gang ? chosen : std::vector<share>();
}

std::vector<placer::share> placer::shares_to_reserve(const waiting_step& step, instant now) {
  std::vector<runner_state*> usable;
  for (runner_state* runner : this->good_runners(step)) {
    ++this->work.reserving;
    const bool may_share_it = step.kept == isolation::alone || may_share(step, *runner);
    if (may_share_it && runner->takes_work(now) && this->permitted(step, *runner) &&
        !this->reservations.contains(runner)) {
      usable.push_back(runner);
    }
  }
  if (step.kept == isolation::alone) {
    return this->empty_runners_to_reserve(step, usable, now);
  }
  // Tries one task per runner first, since that much is free soonest. If there are too few
  // runners for that, counts as many tasks per runner as an empty one can hold.
  const resources each = allocated_resources(*step.shape);
  std::vector<share> one_per_runner;
  one_per_runner.reserve(usable.size());
  for (runner_state* runner : usable) {
    one_per_runner.push_back(
        {runner, each, this->fits_at(*runner, each, step, now, overdue_runs::take_longer)});
  }
  std::vector<share> chosen = this->earliest_shares(std::move(one_per_runner), step);
  if (!chosen.empty()) {
    return chosen;
  }
  std::vector<share> packed;
  for (runner_state* runner : usable) {
    const auto most = static_cast<std::int64_t>(this->members_that_fit(step, *runner));
    if (most > 0) {
      packed.push_back({runner, each * most,
                        this->fits_at(*runner, each * most, step, now, overdue_runs::take_longer)});
    }
  }
  return this->earliest_shares(std::move(packed), step);
}

std::vector<placer::share> placer::empty_runners_to_reserve(
    const waiting_step& step, const std::vector<runner_state*>& usable, instant now) const {
  std::vector<share> whole;
  for (runner_state* runner : usable) {
    if (this->members_that_fit(step, *runner) > 0) {
      const resources& all = runner->entry.capacity;
      whole.push_back(
          {runner, all, this->fits_at(*runner, all, step, now, overdue_runs::take_longer)});
    }
  }
  return this->earliest_shares(std::move(whole), step);
}

// Stops preemptible runs until the share fits; none if it would not fit without all of them
// either. The runs with the longest remaining time are stopped first, since the others end soon
// anyway.
void placer::preempt(const share& part, const waiting_step& step, instant now, plan& out) {
  resources free_capacity = part.runner->free_capacity();
  std::vector<std::pair<const run_key, allocation>*> victims;
  for (auto& entry : part.runner->allocations) {
    const allocation& run = entry.second;
    const bool ends_soon = run.expected_end(now) <= now + this->options.stop_time;
    if (run.stopping || ends_soon) {
      free_capacity += run.capacity_used;
    } else if (is_preemptible(run, step)) {
      victims.push_back(&entry);
    }
  }
  std::sort(victims.begin(), victims.end(), [now](const auto* a, const auto* b) {
    return a->second.expected_end(now) > b->second.expected_end(now);
  });
  std::size_t to_stop = 0;
  while (to_stop < victims.size() && !part.need.fits(free_capacity)) {
    free_capacity += victims[to_stop]->second.capacity_used;
    ++to_stop;
  }
  if (!part.need.fits(free_capacity)) {
    return;
  }
  for (std::size_t i = 0; i < to_stop; ++i) {
    victims[i]->second.stopping = true;
    out.preemptions.push_back({part.runner->entry.id, victims[i]->first, step.ref});
  }
}

std::size_t placer::most_reserving_steps(const pool_round& round) const {
  return std::max(this->options.max_reserving_steps,
                  round.runners.size() / this->options.runners_per_reservation);
}

// Once it has asked about all runners, nothing is left to learn.
bool placer::may_learn_runners(const waiting_step& step) const {
  const pool_round& round = *step.round;
  return step.advice != nullptr && step.kept == isolation::none &&
         step.advice->known.size() < round.runners.size() &&
         round.learning_steps < this->most_reserving_steps(round);
}

std::size_t& placer::reserving_steps_like(const waiting_step& step) {
  pool_round& round = *step.round;
  if (step.kept == isolation::alone) {
    return round.isolating_steps;
  }
  return step.order.kind == urgency_class::interrupted ? round.interrupted_reserving
                                                       : round.reserving_steps;
}

bool placer::may_reserve(const waiting_step& step) {
  const pool_round& round = *step.round;
  if (step.kept == isolation::alone) {
    return round.isolating_steps < this->options.max_reserving_steps;
  }
  if (step.order.kind == urgency_class::interrupted) {
    return round.interrupted_reserving < this->most_reserving_steps(round);
  }
  if (round.reserving_steps >= this->most_reserving_steps(round)) {
    return false;
  }
  return step.shape->gang ||
         dominant_share(step.shape->need, round.largest) >= this->options.large_task_share;
}

// Reserves the runners that will have the free capacity first, so that they don't fill up
// again, and preempts resumable runs of less urgent queues if the step can start right
// after. A gang that would not fit even if all the runners were empty reserves none, since
// they would idle for nothing. The members of a gang wait for each other, so each of
// its reservations lasts until the last runner is free; other tasks start one by one.
bool placer::reserve_runners(const waiting_step& step, instant now, plan& out) {
  std::vector<share> chosen = this->shares_to_reserve(step, now);
  if (chosen.empty()) {
    return false;
  }
  // Work that ends before then may begin there, so runs that are late already count as ending now.
  for (share& part : chosen) {
    part.fits_at = this->fits_at(*part.runner, part.need, step, now, overdue_runs::may_end_now);
  }
  instant all_free = now;
  for (const share& part : chosen) {
    all_free = std::max(all_free, part.fits_at);
  }
  for (const share& part : chosen) {
    this->reserve_runner(part, step, step.shape->gang ? all_free : part.fits_at, now, out);
  }
  ++this->reserving_steps_like(step);
  return true;
}

void placer::reserve_runner(const share& part, const waiting_step& step, instant free_at,
                            instant now, plan& out) {
  this->reservations.emplace(
      part.runner, reservation{step.ref, step.kept, step.order.kind, step.order.priority, free_at});
  this->new_reservations[step.ref].push_back(part.runner->number);
  if (free_at <= now + this->options.preempt_within) {
    this->preempt(part, step, now, out);
  }
}

// A reservation does not block work that ends before the reserving step could start, nor lasting
// work for longer than max_hold, unless it is an interrupted task's: no end of the reserving
// step's wait is certain.
bool placer::blocked_by_reservation(const waiting_step& step, const runner_state& runner,
                                    instant now) const {
  const auto it = this->reservations.find(&runner);
  if (it == this->reservations.end() ||
      (it->second.by == step.ref && it->second.kept == step.kept)) {
    return false;
  }
  const auto held = this->held_since.find(step.ref);
  const bool waits_long =
      held != this->held_since.end() && now - held->second >= this->options.max_hold;
  if (waits_long && it->second.kind != urgency_class::interrupted) {
    return false;
  }
  const reservation& other = it->second;
  const bool would_be_preemptible =
      step.shape->checkpoints && !step.shape->gang && !step.shape->long_running &&
      other.priority < step.order.priority && step.order.slack >= this->options.max_preempted_wait;
  if (would_be_preemptible && now + this->options.preempt_within < other.free_at) {
    return false;  // It is preempted when the reserving step has its other runners.
  }
  const millis expected = this->expected_time(step);
  return expected.value <= 0 || now + expected > other.free_at;
}

}  // namespace monsoonmux::cell
