#include "place/reservation_table.h"

#include <algorithm>

namespace monsoonmux {

void reservation_table::add(reservation value) {
  for (const worker_index worker : value.assigned_workers) {
    this->workers.reserve(worker, value.unit->per_task);
  }
  this->reservations.push_back(std::move(value));
  for (const worker_index worker : this->reservations.back().assigned_workers) {
    this->update_backfill_until(worker);
  }
}

const reservation* reservation_table::find(const pending_unit* unit) const {
  for (const reservation& r : this->reservations) {
    if (r.unit.get() == unit) {
      return &r;
    }
  }
  return nullptr;
}

void reservation_table::release(const reservation& value) {
  for (const worker_index worker : value.assigned_workers) {
    this->workers.unreserve(worker, value.unit->per_task);
  }
}

// Backfill on a worker has to end before the earliest of its reservations is
// ready.
void reservation_table::update_backfill_until(worker_index worker) {
  instant first;
  bool any = false;
  for (const reservation& r : this->reservations) {
    if (std::find(r.assigned_workers.begin(), r.assigned_workers.end(), worker) !=
        r.assigned_workers.end()) {
      first = any ? std::min(first, r.ready) : r.ready;
      any = true;
    }
  }
  this->workers.set_backfill_until(worker, any ? first : instant{});
}

void reservation_table::drop(const pending_unit* unit) {
  const auto it = std::find_if(this->reservations.begin(), this->reservations.end(),
                               [&](const reservation& r) { return r.unit.get() == unit; });
  if (it == this->reservations.end()) {
    return;
  }
  const reservation dropped = *it;
  this->reservations.erase(it);
  this->release(dropped);
  for (const worker_index worker : dropped.assigned_workers) {
    this->update_backfill_until(worker);
  }
}

void reservation_table::drop_job(const job_id& job) {
  std::vector<const pending_unit*> units;
  for (const reservation& r : this->reservations) {
    if (r.unit->job == job) {
      units.push_back(r.unit.get());
    }
  }
  for (const pending_unit* unit : units) {
    this->drop(unit);
  }
}

void reservation_table::expire(instant ready_before) {
  std::vector<const pending_unit*> units;
  for (const reservation& r : this->reservations) {
    if (r.ready < ready_before) {
      units.push_back(r.unit.get());
    }
  }
  for (const pending_unit* unit : units) {
    this->drop(unit);
  }
}

}  // namespace monsoonmux
