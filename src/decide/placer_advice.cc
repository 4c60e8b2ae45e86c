// Which runners the advice service is to be asked about. Questions take long and hosts
// answer them one after the other, so only the most urgent steps ask, each about as many
// runners as it needs, and shortly before it can start.

#include <algorithm>
#include <utility>

#include "decide/placer.h"

namespace monsoonmux::cell {
namespace {

// A renewal of tickets is asked for this much before it is needed.
constexpr millis renewal_margin{100};

}  // namespace

// True if the step will be ready before a ticket that is asked for now expires, by
// the usual time of the tasks that it waits for.
bool placer::soon_ready(const live_job& job, const live_occurrence& occurrence, std::int32_t step,
                        instant now) const {
  const queue_config* const queue = this->state.config.find_queue(job.submission().queue);
  if (queue == nullptr || !queue->advice) {
    return false;
  }
  const job_spec& spec = job.spec();
  for (const std::int32_t earlier : spec.steps[static_cast<std::size_t>(step)].depends_on) {
    const millis usual = this->state.run_times.expected(
        queue->name, spec.steps[static_cast<std::size_t>(earlier)].estimate);
    for (const live_task& task : occurrence.steps[static_cast<std::size_t>(earlier)].tasks) {
      if (task.phase == task_phase::done) {
        continue;
      }
      const millis left = task.placed_at + usual - now;
      if (task.phase == task_phase::waiting || left > this->options.ask_ahead) {
        return false;
      }
    }
  }
  return true;
}

void placer::wish_for_advice(const waiting_step& step, instant now, plan& out) {
  if (step.advice == nullptr) {
    return;
  }
  const advice_config& terms = *step.queue->advice;
  service_round& round = this->pools[step.pool.text];
  const std::size_t named = std::min(round.runners.size(), this->options.runners_per_wish);
  round.advice_ms += terms.per_call_ms + terms.per_runner_ms * static_cast<double>(named);
  const bool in_window = round.advice_ms <= static_cast<double>(this->options.advice_window.value) *
                                                static_cast<double>(this->state.advising_daemons);
  if (step.advice->asking || now < step.advice->retry_at) {
    return;
  }
  const std::size_t most = this->options.questions_per_daemon * this->state.advising_daemons;
  if (!in_window || round.asked >= most) {
    ++out.wishes_put_off;
    return;
  }
  const std::vector<runner_state*> chosen = this->runners_to_ask_about(step, now);
  if (chosen.empty()) {
    step.advice->retry_at = now + this->options.ask_again;
    return;
  }
  ++round.asked;
  advice_wish wish{step.ref, terms, {}};
  for (const runner_state* runner : chosen) {
    wish.runners.push_back(runner->entry.id);
  }
  out.wishes.push_back(std::move(wish));
}

double placer::starts_needed(const waiting_step& step) const {
  return static_cast<double>(step.tasks.size()) * this->options.spare_runners;
}

// How many of the step's tasks have room on the runner now.
double placer::starts_that_fit(const waiting_step& step, const runner_state& runner) const {
  const resources each = reserved_room(*step.shape);
  const std::size_t most = step.shape->anti_affinity > 0
                               ? static_cast<std::size_t>(step.shape->anti_affinity)
                               : step.tasks.size();
  const resources room = runner.room();
  std::size_t fits = 0;
  for (resources taken = each; fits < most && taken.fits(room); taken += each) {
    ++fits;
  }
  return static_cast<double>(fits);
}

// Runners that a question would tell something about; `held` gets the starts that are
// possible now with tickets that stay valid.
std::vector<placer::ask_option> placer::ask_options(const waiting_step& step, instant now,
                                                    double& held) {
  const millis decide{static_cast<std::int64_t>(step.queue->advice->per_call_ms)};
  const instant needed_until = now + this->options.ticket_margin + decide + renewal_margin;
  const double good_share = this->state.advice.good_share(step.queue->name);
  const std::size_t salt = std::hash<std::string>{}(step.ref.text());
  std::vector<ask_option> out;
  for (runner_state* runner : this->pools[step.pool.text].runners) {
    const std::string& id = runner->entry.id;
    const auto known = step.advice->good.find(id);
    const bool asked = known != step.advice->good.end();
    if ((asked && !known->second) || !runner->takes_work(now) ||
        !step.shape->need.fits(runner->entry.capacity)) {
      continue;
    }
    const bool usable =
        this->permitted(step, *runner) && !this->yields_to_claim(step, *runner, now);
    const double fit = usable ? this->starts_that_fit(step, *runner) : 0;
    if (asked && step.advice->ticket_for(id, needed_until) != nullptr) {
      held += fit;
      continue;
    }
    const std::size_t turn = std::hash<std::string>{}(id) * (2 * salt + 1);
    out.push_back({runner, fit * (asked ? 1 : good_share), asked, turn});
  }
  return out;
}

// Those that have room for the step now come first: good ones, then those that were
// never asked about. Others follow, since room there may come: those that were never
// asked about, then good ones; the emptiest first. Steps that ask at the same time about
// runners with room begin with others, since they would take it from each other.
bool placer::is_asked_before(const ask_option& a, const ask_option& b) {
  const bool fits = a.starts > 0;
  if (fits != (b.starts > 0)) {
    return fits;
  }
  if (a.asked != b.asked) {
    return fits ? a.asked : b.asked;
  }
  if (fits) {
    return a.turn > b.turn;
  }
  return std::pair(a.runner->room().accelerators, a.runner->room().cpu) >
         std::pair(b.runner->room().accelerators, b.runner->room().cpu);
}

// As many as the step probably needs, beside what it can start already. Only in a cell
// too full for that, runners without room as well: those that were never asked about, or
// if there are none good ones.
std::vector<runner_state*> placer::runners_to_ask_about(const waiting_step& step, instant now) {
  double starts = 0;
  std::vector<ask_option> candidates = this->ask_options(step, now, starts);
  const double needed = this->starts_needed(step);
  if (starts >= needed) {
    return {};
  }
  std::sort(candidates.begin(), candidates.end(), is_asked_before);
  std::vector<runner_state*> chosen;
  bool unasked_without_room = false;
  for (const ask_option& o : candidates) {
    const bool fits = o.starts > 0;
    const std::size_t most =
        fits ? this->options.roomy_runners_per_wish : this->options.runners_per_wish;
    const bool enough = starts >= needed && (!fits || chosen.size() >= this->options.least_named);
    if (enough || chosen.size() >= most || (!fits && o.asked && unasked_without_room)) {
      break;
    }
    unasked_without_room = unasked_without_room || (!fits && !o.asked);
    starts += o.starts;
    chosen.push_back(o.runner);
  }
  return chosen;
}

}  // namespace monsoonmux::cell
