// Which room the tasks of waiting steps can count on while the answer to an advice query is valid.

#include <algorithm>
#include <cmath>

#include "decide/placer.h"

namespace monsoonmux::cell {

room_outlook& placer::outlook_of(const waiting_step& step, instant now) {
  std::unique_ptr<room_outlook>& outlook = step.round->outlook;
  if (outlook == nullptr) {
    outlook = std::make_unique<room_outlook>(step.round->runners, now, this->options.stop_time);
  }
  return *outlook;
}

instant placer::answer_usable_until(const waiting_step& step, instant now) const {
  const advice_config& terms = *step.queue->advice;
  return now + millis{std::llround(this->usual_query_ms(step))} + terms.ticket_lifetime -
         this->options.answer_delay;
}

bool placer::will_have_room(const waiting_step& step, const runner_state& runner, instant now) {
  return asks_without_room(step) ||
         this->outlook_of(step, now).will_fit(this->by_number[runner.number.value].index,
                                              allocated_resources(*step.shape),
                                              this->answer_usable_until(step, now));
}

// Appends the room on the runner that is left for tasks of the step.
void placer::add_room(const waiting_step& step, std::size_t index, instant now,
                      room_search& search) {
  const runner_state& runner = *step.round->runners[index];
  const std::size_t most = std::min(search.wanted - search.found, most_on_runner(step));
  const std::size_t fits = this->outlook_of(step, now).fitting(
      index, allocated_resources(*step.shape), this->answer_usable_until(step, now), most);
  if (fits > 0 && this->permitted(step, runner) && may_share(step, runner) &&
      !this->blocked_by_reservation(step, runner, now)) {
    search.room.push_back({index, fits});
    search.found += fits;
  }
}

std::vector<placer::expected_room> placer::find_ticket_room(const waiting_step& step, instant now) {
  const instant needed_until = now + this->time_to_renew(*step.queue->advice);
  room_search search{tasks_to_query_for(step)};
  for (const advice_cache::known_runner& known : step.advice->known) {
    const bool usable =
        known.ticket_until > needed_until && this->runner_of(known, step) != nullptr;
    if (usable && search.found < search.wanted) {
      ++this->work.querying;
      this->add_room(step, this->by_number[known.runner.value].index, now, search);
    }
  }
  return search.found < search.wanted ? std::vector<expected_room>() : search.room;
}

// The search begins where the last one found room, since the runners before are mostly taken.
std::vector<placer::expected_room> placer::find_room(const waiting_step& step, std::size_t wanted,
                                                     instant now) {
  room_outlook& outlook = this->outlook_of(step, now);
  if (!outlook.may_fit(allocated_resources(*step.shape), this->answer_usable_until(step, now))) {
    return {};
  }
  room_search search{step.shape->gang ? tasks_to_query_for(step) : wanted};
  const std::size_t first = outlook.last_fit();
  const std::size_t count = step.round->runners.size();
  for (std::size_t i = 0; i < count && search.found < search.wanted; ++i) {
    const std::size_t index = (first + i) % count;
    const advice_cache::known_runner* const known =
        step.advice->find(step.round->runners[index]->number);
    if (known == nullptr || known->good) {
      ++this->work.querying;
      this->add_room(step, index, now, search);
    }
  }
  const bool too_little = step.shape->gang && search.found < search.wanted;
  return too_little ? std::vector<expected_room>() : search.room;
}

std::vector<placer::expected_room> placer::room_on(const waiting_step& step,
                                                   const std::vector<query_candidate>& named,
                                                   instant now) {
  room_search search{tasks_to_query_for(step)};
  for (const query_candidate& each : named) {
    if (search.found < search.wanted) {
      this->add_room(step, this->by_number[each.runner->number.value].index, now, search);
    }
  }
  return search.room;
}

void placer::take_room(const waiting_step& step, const std::vector<expected_room>& room,
                       instant now) {
  for (const expected_room& part : room) {
    this->outlook_of(step, now).take(
        part.runner, allocated_resources(*step.shape) * static_cast<std::int64_t>(part.tasks));
  }
}

}  // namespace monsoonmux::cell
