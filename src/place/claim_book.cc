#include "place/claim_book.h"

#include <algorithm>

namespace monsoonmux {

void claim_book::add(claim value) {
  for (const worker_index worker : value.spots) {
    this->workers.claim(worker, value.unit->per_task);
  }
  this->claims.push_back(std::move(value));
  for (const worker_index worker : this->claims.back().spots) {
    this->update_drain(worker);
  }
}

const claim* claim_book::of(const pending_unit* unit) const {
  for (const claim& c : this->claims) {
    if (c.unit.get() == unit) {
      return &c;
    }
  }
  return nullptr;
}

void claim_book::give_back(const claim& value) {
  for (const worker_index worker : value.spots) {
    this->workers.unclaim(worker, value.unit->per_task);
  }
}

// A worker may be used meanwhile only until the first of its claims is ready.
void claim_book::update_drain(worker_index worker) {
  instant first;
  bool any = false;
  for (const claim& c : this->claims) {
    if (std::find(c.spots.begin(), c.spots.end(), worker) != c.spots.end()) {
      first = any ? std::min(first, c.ready) : c.ready;
      any = true;
    }
  }
  this->workers.set_drain(worker, any ? first : instant{});
}

void claim_book::drop(const pending_unit* unit) {
  const auto it = std::find_if(this->claims.begin(), this->claims.end(),
                               [&](const claim& c) { return c.unit.get() == unit; });
  if (it == this->claims.end()) {
    return;
  }
  const claim gone = *it;
  this->claims.erase(it);
  this->give_back(gone);
  for (const worker_index worker : gone.spots) {
    this->update_drain(worker);
  }
}

void claim_book::drop_job(const job_id& job) {
  std::vector<const pending_unit*> units;
  for (const claim& c : this->claims) {
    if (c.unit->job == job) {
      units.push_back(c.unit.get());
    }
  }
  for (const pending_unit* unit : units) {
    this->drop(unit);
  }
}

void claim_book::expire(instant ready_before) {
  std::vector<const pending_unit*> units;
  for (const claim& c : this->claims) {
    if (c.ready < ready_before) {
      units.push_back(c.unit.get());
    }
  }
  for (const pending_unit* unit : units) {
    this->drop(unit);
  }
}

}  // namespace monsoonmux
