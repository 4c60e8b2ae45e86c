// Which steps wait, and the order in which a round handles them. A round handles few of those that
// wait in an overloaded cell, so all that the others cost is their urgency.

#include <algorithm>
#include <tuple>
#include <utility>

#include "decide/placer.h"

namespace monsoonmux::cell {

bool placer::comes_later(const candidate_step& a, const candidate_step& b) {
  if (a.order != b.order) {
    return b.order < a.order;
  }
  return b.place() < a.place();
}

step_ref placer::candidate_step::ref() const {
  return {this->job->submission().job, this->occurrence, this->step};
}

// Tasks that are to be alone come first, since a runner that is empty seldom stays so. They are
// few, and none starts so more than twice.
bool placer::comes_first(const waiting_step& a, const waiting_step& b) {
  const bool a_later = a.kept != isolation::alone;
  const bool b_later = b.kept != isolation::alone;
  return std::tie(a_later, a.order, a.ref, a.kept) < std::tie(b_later, b.order, b.ref, b.kept);
}

std::int64_t placer::collect(instant now, std::int64_t wall_ms) {
  urgency_evaluator evaluator(this->state, now, wall_ms);
  this->queues.clear();
  std::int64_t waiting_tasks = 0;
  for (auto& [id, job] : this->state.jobs) {
    if (is_final(job.phase())) {
      continue;
    }
    for (auto& [number, occurrence] : job.occurrences()) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        if (!occurrence.steps[s].complete()) {
          const auto step = static_cast<std::int32_t>(s);
          waiting_tasks += this->collect_step(job, number, occurrence, step, evaluator, now);
        }
      }
    }
  }
  std::sort(this->special.begin(), this->special.end(),
            [](const waiting_step* a, const waiting_step* b) { return comes_first(*b, *a); });
  for (auto& [pool, round] : this->pools) {
    std::make_heap(round.candidates.begin(), round.candidates.end(), comes_later);
  }
  return waiting_tasks;
}

const placer::queue_round& placer::queue_of(const live_job& job) {
  const auto [known, is_new] = this->queues.try_emplace(job.submission().queue);
  if (is_new) {
    const queue_config* const queue = this->state.config.find_queue(job.submission().queue);
    const pool_id& pool = queue != nullptr ? queue->pool : job.submission().pool;
    known->second = {queue, &this->pools[pool.text]};
  }
  return known->second;
}

std::int64_t placer::collect_step(live_job& job, std::int32_t number, live_occurrence& occurrence,
                                  std::int32_t step, urgency_evaluator& evaluator, instant now) {
  const live_step& tasks = occurrence.steps[static_cast<std::size_t>(step)];
  const step_spec& shape = job.spec().steps[static_cast<std::size_t>(step)];
  const bool ready = job.step_ready(occurrence, step);
  if (!ready && !this->soon_ready(job, occurrence, step, now)) {
    return 0;
  }
  std::int64_t waiting = 0;
  bool is_special = !ready || (shape.gang && this->state.runners.has_untracked_runs());
  for (const live_task& task : tasks.tasks) {
    const bool may_start = task.phase == task_phase::waiting && !task.held;
    waiting += may_start ? 1 : 0;
    is_special =
        is_special ||
        (may_start && (isolation_of(task) != isolation::none || is_interrupted(shape, task)));
  }
  const auto all = static_cast<std::int64_t>(tasks.tasks.size());
  is_special = is_special || (shape.gang && waiting > 0 && waiting < all) ||
               (!this->ending_runs.empty() &&
                this->ending_runs.contains({job.submission().job, number, step}));
  if (waiting == 0 && !is_special) {
    return 0;
  }
  const auto [queue, round] = this->queue_of(job);
  const candidate_step found{evaluator.evaluate(job, queue, number, occurrence, shape),
                             &job,
                             queue,
                             round,
                             &occurrence,
                             number,
                             step,
                             !ready};
  ++this->work.steps;
  if (!is_special) {
    round->candidates.push_back(found);
    return waiting;
  }
  std::vector<waiting_step> parts;
  this->expand(found, parts);
  std::int64_t to_place = 0;
  for (waiting_step& part : parts) {
    to_place += part.query_only ? 0 : static_cast<std::int64_t>(part.tasks.size());
    this->steps.push_back(std::move(part));
    this->special.push_back(&this->steps.back());
  }
  return to_place;
}

void placer::expand(const candidate_step& from, std::vector<waiting_step>& out) {
  const auto index = static_cast<std::size_t>(from.step);
  const live_step& tasks = from.in->steps[index];
  waiting_step waiting;
  waiting.query_only = from.query_only;
  waiting.ref = from.ref();
  waiting.tasks = this->tasks_to_place(waiting.ref, tasks);
  waiting.shape = &from.job->spec().steps[index];
  if (!this->add_ending_tasks(waiting, tasks, waiting.shape->gang)) {
    return;
  }
  waiting.order = from.order;
  waiting.job = from.job;
  waiting.queue = from.queue;
  waiting.pool = from.queue != nullptr ? from.queue->pool : from.job->submission().pool;
  waiting.round = from.round;
  split(std::move(waiting), tasks, out);
}

placer::waiting_step* placer::expand_one(const candidate_step& from) {
  std::vector<waiting_step> parts;
  this->expand(from, parts);
  if (parts.empty()) {
    return nullptr;  // Its tasks have untracked runs.
  }
  this->steps.push_back(std::move(parts.front()));
  return &this->steps.back();
}

// The pools share the teams' limits and the daemons, so the most urgent step of all comes next. A
// pool in which enough steps found no runner gives no further ones.
placer::waiting_step* placer::next_step() {
  for (;;) {
    pool_round* first = nullptr;
    for (auto& [pool, round] : this->pools) {
      const bool may_give =
          !round.candidates.empty() && round.blocked<round.max_blocked&& this->sendable_bytes> 0;
      if (may_give &&
          (first == nullptr || comes_later(first->candidates.front(), round.candidates.front()))) {
        first = &round;
      }
    }
    if (!this->special.empty() &&
        (first == nullptr || this->special_comes_before(first->candidates.front()))) {
      waiting_step* const out = this->special.back();
      this->special.pop_back();
      return out;
    }
    if (first == nullptr) {
      return nullptr;
    }
    std::pop_heap(first->candidates.begin(), first->candidates.end(), comes_later);
    const candidate_step next = first->candidates.back();
    first->candidates.pop_back();
    if (waiting_step* const out = this->expand_one(next)) {
      return out;
    }
  }
}

bool placer::special_comes_before(const candidate_step& other) const {
  const waiting_step& step = *this->special.back();
  if (step.kept == isolation::alone || step.order != other.order) {
    return step.kept == isolation::alone || step.order < other.order;
  }
  return step.ref < other.ref();
}

void placer::handle_step(waiting_step& step, instant now, plan& out) {
  if (step.query_only) {
    if (step.queue == nullptr || !step.queue->advice) {
      return;
    }
    step.advice = &this->state.advice.entry_for(step.ref);
    this->query_advice(step, now, out);
    return;
  }
  this->place_step(step, now, out);
}

}  // namespace monsoonmux::cell
