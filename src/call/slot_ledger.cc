// Grants are leases on the receiver's own clock, counted from a reading that the
// receiver itself sent, so a grant that lies in a paused daemon's socket has
// ended by the time it is read. Asking the runner or a neighbour before each call
// would cost a round trip per call and would not survive a pause either.

#include "call/slot_ledger.h"

#include <algorithm>
#include <functional>

namespace monsoonmux {

// Daemons leave and join; a rotating start spreads the remainders.
std::int32_t slot_ledger::fair_part(const slot_subject& subject, std::size_t index,
                                    std::size_t count) const {
  const auto n = static_cast<std::int32_t>(count);
  const std::size_t turn = (index + std::hash<std::string>{}(subject.name)) % count;
  return subject.total / n + (static_cast<std::int32_t>(turn) < subject.total % n ? 1 : 0);
}

// A daemon that has adopted the newest grant uses no more than it says.
void slot_ledger::confirm(const std::vector<slot_taker>& takers) {
  for (const slot_taker& taker : takers) {
    for (auto& item : this->accounts) {
      const key& k = item.first;
      account& a = item.second;
      const bool own = k.daemon == taker.daemon && k.incarnation == taker.incarnation;
      if (!own || taker.grant_placer != this->placer || taker.grant_seen < a.number) {
        continue;
      }
      const auto it = std::find_if(taker.held.begin(), taker.held.end(),
                                   [&](const auto& h) { return h.subject == k.subject; });
      const std::int32_t held = it == taker.held.end() ? 0 : it->slots;
      a.reserved = std::max(a.granted, held);
    }
  }
}

void slot_ledger::expire(instant now) {
  std::erase_if(this->accounts, [&](const auto& item) { return item.second.ends <= now; });
}

std::vector<slot_grant> slot_ledger::plan(const std::vector<slot_subject>& subjects,
                                          const std::vector<slot_taker>& takers, instant now) {
  this->confirm(takers);
  this->expire(now);
  const std::int64_t number = this->next_number++;
  std::vector<slot_grant> grants(takers.size());
  for (std::size_t i = 0; i < takers.size(); ++i) {
    grants[i].receiver = takers[i].incarnation;
    grants[i].placer = this->placer;
    grants[i].number = number;
    grants[i].valid_until = takers[i].now + this->options.ttl.value;
  }
  for (const slot_subject& subject : subjects) {
    std::int32_t reserved = 0;
    for (const auto& [k, a] : this->accounts) {
      reserved += k.subject == subject.name ? a.reserved : 0;
    }
    for (std::size_t i = 0; i < takers.size(); ++i) {
      const auto [it, fresh] =
          this->accounts.try_emplace(key{subject.name, takers[i].daemon, takers[i].incarnation});
      account& a = it->second;
      if (fresh) {
        const auto held =
            std::find_if(takers[i].held.begin(), takers[i].held.end(),
                         [&](const slot_holding& h) { return h.subject == subject.name; });
        a.reserved = held == takers[i].held.end() ? 0 : held->slots;
        a.granted = a.reserved;
        reserved += a.reserved;
      }
      std::int32_t wanted = this->fair_part(subject, i, takers.size());
      if (now < this->open_at) {
        wanted = std::min(wanted, a.reserved);
      }
      const std::int32_t room = std::max(0, subject.total - reserved);
      const std::int32_t given = std::min(wanted, a.reserved + room);
      reserved += std::max(0, given - a.reserved);
      a.reserved = std::max(a.reserved, given);
      if (given != a.granted || a.number == 0) {
        a.granted = given;
        a.number = number;
      }
      a.ends = now + this->options.ttl + this->longest_call;
      grants[i].slots.push_back({subject.name, given});
    }
  }
  return grants;
}

}  // namespace monsoonmux
