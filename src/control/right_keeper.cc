#include "control/right_keeper.h"

#include <algorithm>

namespace monsoonmux {
namespace {

// Requests per lease; three may be lost in a row.
constexpr std::int64_t asks_per_ttl = 4;
// The longest pause of a candidate that failed, in quarters of a lease time.
constexpr std::size_t pause_steps = 8;

}  // namespace

right_keeper::right_keeper(domain_id domain, std::string holder, right_options options)
    : domain(std::move(domain)), holder(std::move(holder)), options(options) {}

void right_keeper::configure(const std::vector<worker_id>& electors, instant now) {
  while (!this->sets.empty() && this->sets.front().retire != instant{} &&
         this->sets.front().retire <= now) {
    this->sets.pop_front();
  }
  if (!this->sets.empty() && this->sets.back().right.electors() == electors) {
    return;
  }
  if (!this->sets.empty()) {
    this->sets.back().retire = now + overlap;
  }
  this->sets.push_back({this->next_set++, right_lease(electors, this->options), {}, now});
}

std::vector<right_keeper::ask> right_keeper::asks(elector_set& s, instant now, millis ttl) {
  std::vector<ask> out;
  const epoch number = s.right.proposal(now);
  for (const worker_id& elector : s.right.electors()) {
    out.push_back({elector, {this->domain, this->holder, ttl, number}, s.id, s.right.round(), now});
  }
  return out;
}

std::vector<right_keeper::ask> right_keeper::due(instant now, bool candidate) {
  std::vector<ask> out;
  const bool wanted = candidate || this->held(now);
  for (elector_set& s : this->sets) {
    if (!wanted || now < s.next_ask) {
      continue;
    }
    if (this->give_way(s, now)) {
      const auto back = this->asks(s, now, millis{});
      out.insert(out.end(), back.begin(), back.end());
      s.right.reset();
      continue;
    }
    s.next_ask = now + this->options.ttl / asks_per_ttl;
    const auto more = this->asks(s, now, this->options.ttl);
    out.insert(out.end(), more.begin(), more.end());
  }
  return out;
}

// True once when the candidate has to stop trying for a while.
bool right_keeper::give_way(elector_set& s, instant now) {
  if (s.right.held_until() > now) {
    s.trying_since = {};
    s.failed_tries = 0;
    return false;
  }
  if (s.trying_since == instant{}) {
    s.trying_since = now;
  }
  if (now - s.trying_since < this->options.ttl) {
    return false;
  }
  ++s.failed_tries;
  const std::size_t turn = std::hash<std::string>{}(this->holder + std::to_string(s.failed_tries));
  const auto steps = static_cast<std::int64_t>(turn % pause_steps) + 1;
  s.next_ask = now + this->options.ttl / asks_per_ttl * steps;
  s.trying_since = {};
  return true;
}

void right_keeper::on_answer(const ask& asked, const right_answer& answer, instant now) {
  for (elector_set& s : this->sets) {
    if (s.id != asked.set) {
      continue;
    }
    s.right.on_answer(asked.elector, asked.round, asked.sent, answer);
    const std::int64_t round = s.right.round();
    s.right.proposal(now);
    if (s.right.round() != round) {
      s.next_ask = now;  // The second round follows at once.
    }
  }
}

std::vector<right_keeper::ask> right_keeper::resign(instant now) {
  std::vector<ask> out;
  for (elector_set& s : this->sets) {
    const auto more = this->asks(s, now, millis{});
    out.insert(out.end(), more.begin(), more.end());
    s.right.reset();
  }
  return out;
}

void right_keeper::raise(epoch seen) {
  for (elector_set& s : this->sets) {
    s.right.raise(seen);
    if (s.right.number().value == 0) {
      s.next_ask = {};
    }
  }
}

instant right_keeper::held_until() const {
  if (this->sets.empty()) {
    return {};
  }
  instant until = this->sets.front().right.held_until();
  for (const elector_set& s : this->sets) {
    until = std::min(until, s.right.held_until());
  }
  return until;
}

epoch right_keeper::number() const {
  return this->sets.empty() ? epoch{} : this->sets.back().right.number();
}

}  // namespace monsoonmux
