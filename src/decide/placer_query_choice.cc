// Chooses the runners that an advice query names. Many steps want a query in the same round, and a
// pool has hundreds of runners, so the choice stops as soon as enough are found: what a step costs
// here grows with the runners that its queries have named, and not with its pool unless few of that
// are of the step's kind.

#include <algorithm>
#include <utility>

#include "decide/placer.h"

namespace monsoonmux::cell {
namespace {

// Prime, and larger than any pool, so that steps of this size visit each index of a pool once.
constexpr std::size_t index_stride = 1'000'003;

std::size_t hash_of(const step_ref& step) {
  constexpr std::size_t factor = 0x9E3779B97F4A7C15;  // Odd, with bits that follow no pattern.
  const auto in_job =
      static_cast<std::size_t>(step.occurrence) * factor + static_cast<std::size_t>(step.step);
  return (std::hash<std::string>{}(step.job.text) ^ in_job) * factor;
}

}  // namespace

// False if advice about the runner is of no use to the step.
bool placer::may_query_about(const waiting_step& step, const runner_state& runner,
                             instant now) const {
  return runner.takes_work(now) && step.shape->need.fits(runner.entry.capacity) &&
         this->may_ever_start(step, runner);
}

// Returns how many of the step's tasks can start on the runner now, were it known to be good.
double placer::starts_now(const waiting_step& step, const runner_state& runner, instant now) const {
  const bool usable = this->permitted(step, runner) && may_share(step, runner) &&
                      !this->blocked_by_reservation(step, runner, now);
  return usable ? this->starts_that_fit(step, runner) : 0;
}

// Returns the runners of the pool, those with the most free capacity first, as of the round's first
// query.
const std::vector<placer::pool_round::room>& placer::runners_by_room(pool_round& round) {
  if (round.by_room.empty()) {
    for (runner_state* runner : round.runners) {
      const resources free_capacity = runner->free_capacity();
      round.by_room.push_back({runner, {free_capacity.accelerators, free_capacity.cpu}});
    }
    std::sort(round.by_room.begin(), round.by_room.end(),
              [](const auto& a, const auto& b) { return a.free_capacity > b.free_capacity; });
  }
  return round.by_room;
}

// Returns the runners that are known to be good and have no ticket that stays valid. Adds to
// `choice` the number of starts that are possible now with tickets that do.
std::vector<placer::query_candidate> placer::good_candidates(const waiting_step& step, instant now,
                                                             query_choice& choice) {
  const instant needed_until = now + this->time_to_renew(*step.queue->advice);
  const std::size_t salt = hash_of(step.ref);
  std::vector<query_candidate> out;
  for (const advice_cache::known_runner& known : step.advice->known) {
    if (!known.good) {
      continue;
    }
    ++this->work.querying;
    runner_state* const runner = this->runner_of(known, step);
    if (runner == nullptr || !this->may_query_about(step, *runner, now)) {
      continue;
    }
    const double starts = this->starts_now(step, *runner, now);
    if (needed_until < known.ticket_until) {
      choice.starts += starts;
      continue;
    }
    if (starts <= 0 && !this->will_have_room(step, *runner, now)) {
      continue;
    }
    if (starts <= 0 && step.kept == isolation::alone &&
        this->fits_at(*runner, runner->entry.capacity, step, now, overdue_runs::take_longer) >
            needed_until) {
      continue;  // It will not be empty before the ticket expires.
    }
    const std::size_t tie_break = (known.runner.value + 1) * (2 * salt + 1);
    out.push_back({runner, starts, tie_break});
  }
  std::sort(out.begin(), out.end(), precedes_in_query);
  return out;
}

// Runners with free capacity for the step come first. Among them the order differs from step to
// step, since steps that query at the same time would otherwise compete for the same runners. The
// others follow, the emptiest first, since capacity may become free there.
bool placer::precedes_in_query(const query_candidate& a, const query_candidate& b) {
  const bool fits = a.starts > 0;
  if (fits != (b.starts > 0)) {
    return fits;
  }
  if (fits) {
    return a.tie_break > b.tie_break;
  }
  return std::pair(a.runner->free_capacity().accelerators, a.runner->free_capacity().cpu) >
         std::pair(b.runner->free_capacity().accelerators, b.runner->free_capacity().cpu);
}

// Adds the runner, unless the query names enough. Returns false if it does.
bool placer::add_to_query(query_choice& choice, const query_candidate& candidate) const {
  const bool fits = candidate.starts > 0;
  const std::size_t most =
      fits ? this->options.free_runners_per_query : this->options.runners_per_query;
  const bool enough = choice.starts >= choice.needed &&
                      (!fits || choice.runners.size() >= this->options.min_runners_per_query);
  if (enough || choice.runners.size() >= most) {
    return false;
  }
  choice.starts += candidate.starts;
  choice.runners.push_back(candidate);
  return true;
}

// Adds runners that no query of the step has named yet, with free capacity for one of its tasks.
void placer::add_unasked_with_room(const waiting_step& step, instant now, query_choice& choice) {
  const std::vector<pool_round::room>& by_room = runners_by_room(*step.round);
  const resources need = allocated_resources(*step.shape);
  const bool on_accelerators = need.accelerators.value > 0;
  const std::pair least(need.accelerators, on_accelerators ? millicores{0} : need.cpu);
  const auto end =
      std::partition_point(by_room.begin(), by_room.end(),
                           [&least](const auto& entry) { return entry.free_capacity >= least; });
  const auto count = static_cast<std::size_t>(end - by_room.begin());
  const double good_share = this->state.advice.good_share(step.queue->name);
  const std::size_t first = count > 0 ? hash_of(step.ref) % count : 0;
  for (std::size_t i = 0; i < count; ++i) {
    ++this->work.querying;
    runner_state* const runner = by_room[(first + i * index_stride) % count].runner;
    if (step.advice->asked(runner->number) || !this->may_query_about(step, *runner, now)) {
      continue;
    }
    const double starts = this->starts_now(step, *runner, now) * good_share;
    if (starts > 0 && !this->add_to_query(choice, {runner, starts, 0})) {
      return;
    }
  }
}

// Adds runners that no query of the step has named yet, without such capacity. Returns false if
// there are none and the query does not name as many as it may without them.
bool placer::add_unasked_without_room(const waiting_step& step, instant now, query_choice& choice) {
  if (choice.runners.size() >= this->options.runners_per_query) {
    return true;
  }
  bool found = false;
  for (const pool_round::room& entry : runners_by_room(*step.round)) {
    ++this->work.querying;
    const runner_state& runner = *entry.runner;
    if (step.advice->asked(runner.number) || !this->may_query_about(step, runner, now) ||
        this->starts_now(step, runner, now) > 0 || !this->will_have_room(step, runner, now)) {
      continue;
    }
    found = true;
    if (!this->add_to_query(choice, {entry.runner, 0, 0})) {
      break;
    }
  }
  return found;
}

// Returns as many runners as the step probably needs in addition to the starts that it has
// tickets for. Only if the cell is too full for that, runners without free capacity are
// added: those that no query has named yet or, if there are none, known good ones.
std::vector<placer::query_candidate> placer::runners_to_query(const waiting_step& step,
                                                              instant now) {
  query_choice choice;
  choice.needed = this->starts_needed(step);
  const std::vector<query_candidate> good = this->good_candidates(step, now, choice);
  if (choice.starts >= choice.needed) {
    return {};
  }
  const auto full = std::partition_point(good.begin(), good.end(),
                                         [](const auto& known) { return known.starts > 0; });
  for (auto known = good.begin(); known != full && this->add_to_query(choice, *known); ++known) {
  }
  this->add_unasked_with_room(step, now, choice);
  if (choice.starts >= choice.needed || this->add_unasked_without_room(step, now, choice)) {
    return choice.runners;
  }
  for (auto known = full; known != good.end() && this->add_to_query(choice, *known); ++known) {
  }
  return choice.runners;
}

}  // namespace monsoonmux::cell
