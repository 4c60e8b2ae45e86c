#include "decide/advice_cache.h"

#include <algorithm>
#include <iterator>

namespace monsoonmux::cell {
namespace {

// A runner that an answer names, with its ticket if it got one.
struct named_runner {
  runner_number runner;
  const ticket* granted = nullptr;

  bool operator<(const named_runner& other) const { return this->runner < other.runner; }
};

}  // namespace

const advice_cache::known_runner* advice_cache::step_advice::find(runner_number runner) const {
  const auto it = std::lower_bound(
      this->known.begin(), this->known.end(), runner,
      [](const known_runner& each, runner_number number) { return each.runner < number; });
  return it != this->known.end() && it->runner == runner ? &*it : nullptr;
}

const advice_cache::known_runner* advice_cache::step_advice::ticket_for(runner_number runner,
                                                                        instant when) const {
  const known_runner* const found = this->find(runner);
  return found != nullptr && when < found->ticket_until ? found : nullptr;
}

bool advice_cache::step_advice::known_good(runner_number runner) const {
  const known_runner* const found = this->find(runner);
  return found != nullptr && found->good;
}

bool advice_cache::step_advice::holds_ticket(instant when) const {
  return std::any_of(this->known.begin(), this->known.end(),
                     [when](const known_runner& each) { return when < each.ticket_until; });
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
  std::vector<named_runner> named;
  named.reserve(asked.size() + tickets.size());
  for (const std::string& runner : asked) {
    named.push_back({this->numbers->of(runner), nullptr});
  }
  for (const ticket& t : tickets) {
    named.push_back({this->numbers->of(t.runner), &t});
  }
  std::sort(named.begin(), named.end());
  std::vector<known_runner> merged;
  merged.reserve(advice.known.size() + asked.size());
  auto before = advice.known.begin();
  for (const named_runner& each : named) {
    for (; before != advice.known.end() && before->runner <= each.runner; ++before) {
      merged.push_back(std::move(*before));
    }
    if (merged.empty() || merged.back().runner != each.runner) {
      merged.push_back({each.runner, false, {}, instant{0}});
    }
    if (each.granted != nullptr) {
      merged.back() = {each.runner, true, each.granted->text, valid_until};
    }
  }
  std::move(before, advice.known.end(), std::back_inserter(merged));
  advice.known = std::move(merged);
}

void advice_cache::answer(const queue_id& queue, const step_ref& step,
                          const std::vector<std::string>& asked, const std::vector<ticket>& tickets,
                          instant valid_until) {
  const step_advice& before = this->steps[step];
  tally& known = this->tallies[queue];
  for (const std::string& runner : asked) {
    known.asked += before.asked(this->numbers->of(runner)) ? 0 : 1;
  }
  for (const ticket& t : tickets) {
    known.good += before.asked(this->numbers->of(t.runner)) ? 0 : 1;
  }
  this->answer(step, asked, tickets, valid_until);
}

double advice_cache::good_share(const queue_id& queue) const {
  const auto it = this->tallies.find(queue);
  const tally known = it == this->tallies.end() ? tally() : it->second;
  return known.good / known.asked;
}

held_ticket advice_cache::ticket_for(const step_ref& step, const std::string& runner,
                                     instant now) const {
  const step_advice* const advice = this->find(step);
  const std::optional<runner_number> number = this->numbers->find(runner);
  const known_runner* const holder =
      advice != nullptr && number ? advice->ticket_for(*number, now) : nullptr;
  return holder != nullptr ? held_ticket{holder->ticket, holder->ticket_until} : held_ticket{};
}

void advice_cache::drop_ticket(const step_ref& step, const std::string& runner) {
  const auto it = this->steps.find(step);
  if (it == this->steps.end()) {
    return;
  }
  const std::optional<runner_number> number = this->numbers->find(runner);
  for (known_runner& each : it->second.known) {
    if (each.runner == number) {
      each.ticket_until = instant{0};
    }
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
