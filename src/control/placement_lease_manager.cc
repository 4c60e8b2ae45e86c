#include "control/placement_lease_manager.h"

#include <algorithm>

namespace monsoonmux {
namespace {

// Requests per lease time; three in a row may be lost.
constexpr std::int64_t requests_per_ttl = 4;
// The longest backoff of a candidate after a failed attempt, in quarters of a lease
// time.
constexpr std::size_t max_backoff_steps = 8;

}  // namespace

placement_lease_manager::placement_lease_manager(domain_id domain, std::string holder,
                                                 placement_lease_options options)
    : domain(std::move(domain)), holder(std::move(holder)), options(options) {}

void placement_lease_manager::configure(const std::vector<worker_id>& electors, instant now) {
  while (!this->sets.empty() && this->sets.front().retire_at != instant{} &&
         this->sets.front().retire_at <= now) {
    this->sets.pop_front();
  }
  if (!this->sets.empty() && this->sets.back().domain_lease.electors() == electors) {
    return;
  }
  if (!this->sets.empty()) {
    this->sets.back().retire_at = now + overlap;
  }
  this->sets.push_back({this->next_set++, placement_lease(electors, this->options), {}, now});
}

std::vector<placement_lease_manager::elector_request> placement_lease_manager::make_requests(
    elector_set& s, instant now, millis ttl) {
  std::vector<elector_request> out;
  const epoch number = s.domain_lease.proposal(now);
  for (const worker_id& elector : s.domain_lease.electors()) {
    out.push_back(
        {elector, {this->domain, this->holder, ttl, number}, s.id, s.domain_lease.round(), now});
  }
  return out;
}

std::vector<placement_lease_manager::elector_request> placement_lease_manager::due_requests(
    instant now, bool candidate) {
  std::vector<elector_request> out;
  const bool request_due = candidate || this->held(now);
  for (elector_set& s : this->sets) {
    if (!request_due || now < s.next_request) {
      continue;
    }
    if (this->back_off(s, now)) {
      const auto back = this->make_requests(s, now, millis{});
      out.insert(out.end(), back.begin(), back.end());
      s.domain_lease.reset();
      continue;
    }
    s.next_request = now + this->options.ttl / requests_per_ttl;
    const auto more = this->make_requests(s, now, this->options.ttl);
    out.insert(out.end(), more.begin(), more.end());
  }
  return out;
}

// Returns true if the present attempt has failed; the next request to the set is
// then scheduled after the backoff.
bool placement_lease_manager::back_off(elector_set& s, instant now) {
  if (s.domain_lease.held_until() > now) {
    s.contending_since = {};
    s.failed_attempts = 0;
    return false;
  }
  if (s.contending_since == instant{}) {
    s.contending_since = now;
  }
  if (now - s.contending_since < this->options.ttl) {
    return false;
  }
  ++s.failed_attempts;
  const std::size_t hash =
      std::hash<std::string>{}(this->holder + std::to_string(s.failed_attempts));
  const auto steps = static_cast<std::int64_t>(hash % max_backoff_steps) + 1;
  s.next_request = now + this->options.ttl / requests_per_ttl * steps;
  s.contending_since = {};
  return true;
}

void placement_lease_manager::on_answer(const elector_request& sent_request,
                                        const placement_lease_answer& answer, instant now) {
  for (elector_set& s : this->sets) {
    if (s.id != sent_request.set) {
      continue;
    }
    s.domain_lease.on_answer(sent_request.elector, sent_request.round, sent_request.sent, answer);
    const std::int64_t round = s.domain_lease.round();
    s.domain_lease.proposal(now);
    if (s.domain_lease.round() != round) {
      s.next_request = now;  // Send the second round without delay.
    }
  }
}

std::vector<placement_lease_manager::elector_request> placement_lease_manager::resign(instant now) {
  std::vector<elector_request> out;
  for (elector_set& s : this->sets) {
    const auto more = this->make_requests(s, now, millis{});
    out.insert(out.end(), more.begin(), more.end());
    s.domain_lease.reset();
  }
  return out;
}

void placement_lease_manager::raise(epoch seen) {
  for (elector_set& s : this->sets) {
    s.domain_lease.raise(seen);
    if (s.domain_lease.number().value == 0) {
      s.next_request = {};
    }
  }
}

instant placement_lease_manager::held_until() const {
  if (this->sets.empty()) {
    return {};
  }
  instant until = this->sets.front().domain_lease.held_until();
  for (const elector_set& s : this->sets) {
    until = std::min(until, s.domain_lease.held_until());
  }
  return until;
}

epoch placement_lease_manager::number() const {
  return this->sets.empty() ? epoch{} : this->sets.back().domain_lease.number();
}

}  // namespace monsoonmux
