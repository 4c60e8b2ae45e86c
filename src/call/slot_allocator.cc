// The expiry of a lease is a time on the receiver's own clock, computed from a clock reading that
// the receiver sent. A lease that is delayed in the socket of a paused daemon has therefore expired
// by the time it is read. The alternative, asking the runner or another daemon before each call,
// would cost one round trip per call and would not be safe across a pause either.

#include "call/slot_allocator.h"

#include <algorithm>
#include <functional>

namespace monsoonmux {

// The remainder of the division goes to different receivers for different subjects: the first
// receiver to get one slot more depends on the hash of the subject's name. This spreads the
// remainders over the daemons also when daemons leave and join.
std::int32_t slot_allocator::fair_share(const slot_subject& subject, std::size_t index,
                                        std::size_t count) const {
  const auto n = static_cast<std::int32_t>(count);
  const std::size_t turn = (index + std::hash<std::string>{}(subject.name)) % count;
  return subject.total / n + (static_cast<std::int32_t>(turn) < subject.total % n ? 1 : 0);
}

// Lowers the reservations of receivers that have adopted the lease with the current number of
// slots: such a daemon uses no more slots than that lease gives or its heartbeat reports, whichever
// is larger.
void slot_allocator::confirm(const std::vector<slot_receiver>& receivers) {
  for (const slot_receiver& receiver : receivers) {
    for (auto& item : this->lease_entries) {
      const key& k = item.first;
      lease_entry& entry = item.second;
      const bool own = k.daemon == receiver.daemon && k.incarnation == receiver.incarnation;
      if (!own || receiver.lease_placer != this->placer || receiver.lease_number < entry.number) {
        continue;
      }
      const auto it = std::find_if(receiver.held.begin(), receiver.held.end(),
                                   [&](const auto& h) { return h.subject == k.subject; });
      const std::int32_t held = it == receiver.held.end() ? 0 : it->slots;
      entry.reserved = std::max(entry.granted, held);
    }
  }
}

void slot_allocator::expire(instant now) {
  std::erase_if(this->lease_entries,
                [&](const auto& item) { return item.second.expires_at <= now; });
}

std::vector<slot_lease> slot_allocator::plan(const std::vector<slot_subject>& subjects,
                                             const std::vector<slot_receiver>& receivers,
                                             instant now) {
  this->confirm(receivers);
  this->expire(now);
  const std::int64_t number = this->next_number++;
  std::vector<slot_lease> leases(receivers.size());
  for (std::size_t i = 0; i < receivers.size(); ++i) {
    leases[i].receiver = receivers[i].incarnation;
    leases[i].placer = this->placer;
    leases[i].number = number;
    leases[i].valid_until = receivers[i].now + this->options.ttl.value;
  }
  for (const slot_subject& subject : subjects) {
    std::int32_t reserved = 0;
    for (const auto& [k, entry] : this->lease_entries) {
      reserved += k.subject == subject.name ? entry.reserved : 0;
    }
    for (std::size_t i = 0; i < receivers.size(); ++i) {
      const auto [it, inserted] = this->lease_entries.try_emplace(
          key{subject.name, receivers[i].daemon, receivers[i].incarnation});
      lease_entry& entry = it->second;
      if (inserted) {
        const auto held =
            std::find_if(receivers[i].held.begin(), receivers[i].held.end(),
                         [&](const slot_usage& h) { return h.subject == subject.name; });
        entry.reserved = held == receivers[i].held.end() ? 0 : held->slots;
        entry.granted = entry.reserved;
        reserved += entry.reserved;
      }
      std::int32_t target = this->fair_share(subject, i, receivers.size());
      if (now < this->recovery_ends) {
        target = std::min(target, entry.reserved);
      }
      const std::int32_t free_slots = std::max(0, subject.total - reserved);
      const std::int32_t leased = std::min(target, entry.reserved + free_slots);
      reserved += std::max(0, leased - entry.reserved);
      entry.reserved = std::max(entry.reserved, leased);
      if (leased != entry.granted || entry.number == 0) {
        entry.granted = leased;
        entry.number = number;
      }
      entry.expires_at = now + this->options.ttl + this->max_call_duration;
      leases[i].slots.push_back({subject.name, leased});
    }
  }
  return leases;
}

}  // namespace monsoonmux
