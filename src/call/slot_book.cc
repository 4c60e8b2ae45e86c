#include "call/slot_book.h"

#include <algorithm>
#include <tuple>

namespace monsoonmux {

void slot_book::adopt(const slot_grant& grant) {
  const std::lock_guard hold(this->lock);
  if (grant.receiver != this->incarnation) {
    return;
  }
  if (std::tie(grant.placer, grant.number) <= std::tie(this->placer, this->number)) {
    return;
  }
  this->placer = grant.placer;
  this->number = grant.number;
  this->valid_until = grant.valid_until;
  for (auto& [name, e] : this->entries) {
    e.granted = 0;
  }
  for (const slot_holding& h : grant.slots) {
    this->entries[h.subject].granted = this->draining ? 0 : h.slots;
  }
  std::erase_if(this->entries,
                [](const auto& item) { return item.second.granted == 0 && item.second.used == 0; });
}

std::int32_t slot_book::free_locked(const std::string& subject, std::int64_t now) const {
  const auto it = this->entries.find(subject);
  if (it == this->entries.end() || now >= this->valid_until) {
    return 0;
  }
  return std::max(0, it->second.granted - it->second.used);
}

std::int32_t slot_book::free(const std::string& subject) const {
  const std::lock_guard hold(this->lock);
  return this->free_locked(subject, this->time.now().value);
}

bool slot_book::take(const std::vector<std::string>& subjects) {
  const std::lock_guard hold(this->lock);
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

void slot_book::release(const std::vector<std::string>& subjects) {
  const std::lock_guard hold(this->lock);
  for (const std::string& subject : subjects) {
    --this->entries[subject].used;
  }
}

std::int64_t slot_book::newest() const {
  const std::lock_guard hold(this->lock);
  return this->number;
}

epoch slot_book::newest_placer() const {
  const std::lock_guard hold(this->lock);
  return this->placer;
}

std::vector<slot_holding> slot_book::held() const {
  const std::lock_guard hold(this->lock);
  std::vector<slot_holding> out;
  const bool valid = this->time.now().value < this->valid_until;
  for (const auto& [name, e] : this->entries) {
    const std::int32_t slots = std::max(valid && !this->draining ? e.granted : 0, e.used);
    if (slots > 0) {
      out.push_back({name, slots});
    }
  }
  return out;
}

std::int32_t slot_book::in_use() const {
  const std::lock_guard hold(this->lock);
  std::int32_t sum = 0;
  for (const auto& [name, e] : this->entries) {
    sum += name.rfind("team:", 0) == 0 ? 0 : e.used;
  }
  return sum;
}

void slot_book::drain() {
  const std::lock_guard hold(this->lock);
  this->draining = true;
  for (auto& [name, e] : this->entries) {
    e.granted = 0;
  }
}

}  // namespace monsoonmux
