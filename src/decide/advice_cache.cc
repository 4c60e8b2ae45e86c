#include "decide/advice_cache.h"

namespace monsoonmux::cell {

const std::string* advice_cache::step_advice::ticket_for(const std::string& runner,
                                                         instant when) const {
  const auto it = this->tickets.find(runner);
  return it != this->tickets.end() && when < it->second.valid_until ? &it->second.text : nullptr;
}

bool advice_cache::step_advice::known_good(const std::string& runner) const {
  const auto it = this->good.find(runner);
  return it != this->good.end() && it->second;
}

bool advice_cache::step_advice::holds_ticket(instant when) const {
  return std::any_of(this->tickets.begin(), this->tickets.end(),
                     [when](const auto& entry) { return when < entry.second.valid_until; });
}

void advice_cache::step_advice::sent(bool out_of_turn) {
  this->query_pending = true;
  this->pending_out_of_turn = out_of_turn;
  this->wanted_since = never;
  ++this->queries;
}

std::size_t advice_cache::pending_out_of_turn() const {
  return static_cast<std::size_t>(
      std::count_if(this->steps.begin(), this->steps.end(), [](const auto& entry) {
        return entry.second.query_pending && entry.second.pending_out_of_turn;
      }));
}

const advice_cache::step_advice* advice_cache::find(const step_ref& step) const {
  const auto it = this->steps.find(step);
  return it == this->steps.end() ? nullptr : &it->second;
}

void advice_cache::answer(const step_ref& step, const std::vector<std::string>& asked,
                          const std::vector<ticket>& tickets, instant valid_until) {
  step_advice& advice = this->steps[step];
  advice.query_pending = false;
  for (const std::string& runner : asked) {
    advice.good.emplace(runner, false);
  }
  for (const ticket& t : tickets) {
    advice.good[t.runner] = true;
    advice.tickets[t.runner] = {t.text, valid_until};
  }
}

void advice_cache::answer(const queue_id& queue, const step_ref& step,
                          const std::vector<std::string>& asked, const std::vector<ticket>& tickets,
                          instant valid_until) {
  const step_advice& before = this->steps[step];
  tally& known = this->tallies[queue];
  for (const std::string& runner : asked) {
    known.asked += before.good.contains(runner) ? 0 : 1;
  }
  for (const ticket& t : tickets) {
    known.good += before.good.contains(t.runner) ? 0 : 1;
  }
  this->answer(step, asked, tickets, valid_until);
}

double advice_cache::good_share(const queue_id& queue) const {
  const auto it = this->tallies.find(queue);
  const tally known = it == this->tallies.end() ? tally() : it->second;
  return known.good / known.asked;
}

std::string advice_cache::ticket_for(const step_ref& step, const std::string& runner,
                                     instant now) const {
  const step_advice* const advice = this->find(step);
  const std::string* const text = advice != nullptr ? advice->ticket_for(runner, now) : nullptr;
  return text != nullptr ? *text : std::string();
}

void advice_cache::drop_ticket(const step_ref& step, const std::string& runner) {
  const auto it = this->steps.find(step);
  if (it != this->steps.end()) {
    it->second.tickets.erase(runner);
  }
}

void advice_cache::forget(const job_id& job) {
  const auto first = this->steps.lower_bound(step_ref{job, 0, 0});
  auto last = first;
  while (last != this->steps.end() && last->first.job == job) {
    ++last;
  }
  this->steps.erase(first, last);
}

}  // namespace monsoonmux::cell
