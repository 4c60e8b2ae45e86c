// Which runners the advice service is to be asked about. Questions take long and hosts
// answer them one after the other, so only the most urgent steps ask, each about few
// runners, and shortly before it can start.

#include <algorithm>

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
  const advice_terms& terms = *step.queue->advice;
  service_round& round = this->services[step.service.text];
  const std::size_t named = std::min(round.runners.size(), this->options.runners_per_wish);
  round.advice_ms += terms.decide_ms + terms.per_runner_ms * static_cast<double>(named);
  const bool in_window = round.advice_ms <= static_cast<double>(this->options.advice_window.value);
  if (!in_window || step.advice->asking || now < step.advice->retry_at ||
      round.asked >= this->options.questions) {
    return;
  }
  const std::vector<runner_state*> chosen = this->runners_to_ask_about(step, now);
  if (chosen.empty()) {
    return;
  }
  ++round.asked;
  advice_wish wish{step.ref, terms, {}};
  for (const runner_state* runner : chosen) {
    if (wish.runners.size() >= this->options.runners_per_wish) {
      break;
    }
    wish.runners.push_back(runner->entry.id);
  }
  out.wishes.push_back(std::move(wish));
}

// Those that were never asked about; if there are none, those that are good and
// whose tickets expire before a new one could come. The emptiest come first.
std::vector<runner_state*> placer::runners_to_ask_about(const waiting_step& step, instant now) {
  const millis decide{static_cast<std::int64_t>(step.queue->advice->decide_ms)};
  const instant needed_until = now + this->options.ticket_margin + decide + renewal_margin;
  std::vector<runner_state*> unasked;
  std::vector<runner_state*> expiring;
  for (runner_state* runner : this->services[step.service.text].runners) {
    if (!runner->takes_work(now) || !step.shape->need.fits(runner->entry.capacity)) {
      continue;
    }
    if (!step.advice->good.contains(runner->entry.id)) {
      unasked.push_back(runner);
    } else if (step.advice->known_good(runner->entry.id) &&
               step.advice->ticket_for(runner->entry.id, needed_until) == nullptr) {
      expiring.push_back(runner);
    }
  }
  std::vector<runner_state*> chosen = unasked.empty() ? std::move(expiring) : std::move(unasked);
  std::sort(chosen.begin(), chosen.end(), [](const runner_state* a, const runner_state* b) {
    return a->room().cpu > b->room().cpu;
  });
  return chosen;
}

}  // namespace monsoonmux::cell
