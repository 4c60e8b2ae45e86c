// Rows are kept in one vector and never change their index, so a placement scan
// reads memory sequentially. At 100 workers per domain this is faster than any
// index that would have to be kept ordered by three resources.

#include "place/worker_table.h"

namespace monsoonmux {

worker_index worker_table::add(const worker_info& info) {
  const auto [it, inserted] =
      this->by_id.try_emplace(info.id, static_cast<worker_index>(this->rows.size()));
  if (inserted) {
    this->rows.push_back({});
    this->rows.back().free = info.total;
  } else {
    row& existing = this->at(it->second);
    existing.free += info.total - existing.info.total;
  }
  row& r = this->at(it->second);
  r.info = info;
  r.usable = true;
  r.rack = this->racks.try_emplace(info.rack, static_cast<std::int32_t>(this->racks.size()))
               .first->second;
  r.pool = this->pool_number(info.pool);
  return it->second;
}

worker_index worker_table::find(const worker_id& id) const {
  const auto it = this->by_id.find(id);
  return it == this->by_id.end() ? no_worker : it->second;
}

bool worker_table::allocate(worker_index worker, const resources& amount) {
  if (!amount.fits(this->at(worker).free)) {
    return false;
  }
  this->force_allocate(worker, amount);
  return true;
}

void worker_table::force_allocate(worker_index worker, const resources& amount) {
  this->at(worker).free -= amount;
  ++this->at(worker).tasks;
}

void worker_table::release(worker_index worker, const resources& amount) {
  this->at(worker).free += amount;
  --this->at(worker).tasks;
}

void worker_table::reserve(worker_index worker, const resources& amount) {
  this->at(worker).reserved += amount;
}

void worker_table::unreserve(worker_index worker, const resources& amount) {
  this->at(worker).reserved -= amount;
}

std::int32_t worker_table::pool_number(const pool_id& pool) {
  return this->pools.try_emplace(pool, static_cast<std::int32_t>(this->pools.size())).first->second;
}

resources worker_table::capacity() const {
  resources sum;
  for (const row& r : this->rows) {
    if (r.usable) {
      sum += r.info.total;
    }
  }
  return sum;
}

}  // namespace monsoonmux
