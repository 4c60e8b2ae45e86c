#include "call/leased_slots.h"

#include <algorithm>
#include <tuple>

namespace monsoonmux {

void leased_slots::adopt(const slot_lease& lease) {
  const std::lock_guard guard(this->lock);
  if (lease.receiver != this->incarnation) {
    return;
  }
  if (std::tie(lease.placer, lease.number) <= std::tie(this->placer, this->number)) {
    return;
  }
  this->placer = lease.placer;
  this->number = lease.number;
  this->valid_until = lease.valid_until;
  for (auto& [name, e] : this->entries) {
    e.granted = 0;
  }
  for (const slot_usage& h : lease.slots) {
    this->entries[h.subject].granted = this->draining ? 0 : h.slots;
  }
  std::erase_if(this->entries,
                [](const auto& item) { return item.second.granted == 0 && item.second.used == 0; });
}

std::int32_t leased_slots::free_locked(const std::string& subject, std::int64_t now) const {
  const auto it = this->entries.find(subject);
  if (it == this->entries.end() || now >= this->valid_until) {
    return 0;
  }
  return std::max(0, it->second.granted - it->second.used);
}

std::int32_t leased_slots::free(const std::string& subject) const {
  const std::lock_guard guard(this->lock);
  return this->free_locked(subject, this->time.now().value);
}

bool leased_slots::acquire(const std::vector<std::string>& subjects) {
  const std::lock_guard guard(this->lock);
  const std::int64_t now = this->time.now().value;
  for (const std::string& subject : subjects) {
    if (this->free_locked(subject, now) <= 0) {
      return false;
    }
  }
  for (const std::string& subject : subjects) {
    ++this->entries[subject].used;
  }
  return true;
}

void leased_slots::release(const std::vector<std::string>& subjects) {
  const std::lock_guard guard(this->lock);
  for (const std::string& subject : subjects) {
    --this->entries[subject].used;
  }
}

std::int64_t leased_slots::newest_lease() const {
  const std::lock_guard guard(this->lock);
  return this->number;
}

epoch leased_slots::newest_placer() const {
  const std::lock_guard guard(this->lock);
  return this->placer;
}

std::vector<slot_usage> leased_slots::held() const {
  const std::lock_guard guard(this->lock);
  std::vector<slot_usage> out;
  const bool valid = this->time.now().value < this->valid_until;
  for (const auto& [name, e] : this->entries) {
    const std::int32_t slots = std::max(valid && !this->draining ? e.granted : 0, e.used);
    if (slots > 0) {
      out.push_back({name, slots});
    }
  }
  return out;
}

std::int32_t leased_slots::in_use() const {
  const std::lock_guard guard(this->lock);
  std::int32_t sum = 0;
  for (const auto& [name, e] : this->entries) {
    sum += name.rfind("team:", 0) == 0 ? 0 : e.used;
  }
  return sum;
}

void leased_slots::drain() {
  const std::lock_guard guard(this->lock);
  this->draining = true;
  for (auto& [name, e] : this->entries) {
    e.granted = 0;
  }
}

}  // namespace monsoonmux
