#include "decide/advice_book.h"

namespace monsoonmux::cell {

const advice_book::step_advice* advice_book::find(const step_ref& step) const {
  const auto it = this->steps.find(step);
  return it == this->steps.end() ? nullptr : &it->second;
}

void advice_book::answer(const step_ref& step, const std::vector<std::string>& asked,
                         const std::vector<ticket>& given, instant valid_until) {
  step_advice& advice = this->steps[step];
  advice.asking = false;
  for (const std::string& runner : asked) {
    advice.good.emplace(runner, false);
  }
  for (const ticket& t : given) {
    advice.good[t.runner] = true;
    advice.tickets[t.runner] = {t.text, valid_until};
  }
}

std::string advice_book::ticket_for(const step_ref& step, const std::string& runner,
                                    instant now) const {
  const step_advice* const advice = this->find(step);
  if (advice == nullptr) {
    return {};
  }
  const auto it = advice->tickets.find(runner);
  const bool valid = it != advice->tickets.end() && now < it->second.valid_until;
  return valid ? it->second.text : std::string();
}

void advice_book::drop_ticket(const step_ref& step, const std::string& runner) {
  const auto it = this->steps.find(step);
  if (it != this->steps.end()) {
    it->second.tickets.erase(runner);
  }
}

void advice_book::forget(const job_id& job) {
  const auto first = this->steps.lower_bound(step_ref{job, 0, 0});
  auto last = first;
  while (last != this->steps.end() && last->first.job == job) {
    ++last;
  }
  this->steps.erase(first, last);
}

}  // namespace monsoonmux::cell
