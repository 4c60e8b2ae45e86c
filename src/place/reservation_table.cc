#include "place/reservation_table.h"

#include <algorithm>

namespace monsoonmux {

void reservation_table::add(reservation value) {
  for (const worker_index worker : value.assigned_workers) {
    this->workers.reservation(worker, value.unit->per_task);
  }
  this->reservations.push_back(std::move(value));
  for (const worker_index worker : this->reservations.back().assigned_workers) {
    this->update_backfill_until(worker);
  }
}

const reservation* reservation_table::of(const pending_unit* unit) const {
  for (const reservation& c : this->reservations) {
    if (c.unit.get() == unit) {
      return &c;
    }
  }
  return nullptr;
}

void reservation_table::release(const reservation& value) {
  for (const worker_index worker : value.assigned_workers) {
    this->workers.unreserve(worker, value.unit->per_task);
  }
}

// A worker may be used meanwhile only until the first of its claims is ready.
void reservation_table::update_backfill_until(worker_index worker) {
  instant first;
  bool any = false;
  for (const reservation& c : this->reservations) {
    if (std::find(c.assigned_workers.begin(), c.assigned_workers.end(), worker) !=
        c.assigned_workers.end()) {
      first = any ? std::min(first, c.ready) : c.ready;
      any = true;
    }
  }
  this->workers.set_backfill_until(worker, any ? first : instant{});
}

void reservation_table::drop(const pending_unit* unit) {
  const auto it = std::find_if(this->reservations.begin(), this->reservations.end(),
                               [&](const reservation& c) { return c.unit.get() == unit; });
  if (it == this->reservations.end()) {
    return;
  }
  const reservation gone = *it;
  this->reservations.erase(it);
  this->release(gone);
  for (const worker_index worker : gone.assigned_workers) {
    this->update_backfill_until(worker);
  }
}

void reservation_table::drop_job(const job_id& job) {
  std::vector<const pending_unit*> units;
  for (const reservation& c : this->reservations) {
    if (c.unit->job == job) {
      units.push_back(c.unit.get());
    }
  }
  for (const pending_unit* unit : units) {
    this->drop(unit);
  }
}

void reservation_table::expire(instant ready_before) {
  std::vector<const pending_unit*> units;
  for (const reservation& c : this->reservations) {
    if (c.ready < ready_before) {
      units.push_back(c.unit.get());
    }
  }
  for (const pending_unit* unit : units) {
    this->drop(unit);
  }
}

}  // namespace monsoonmux
