#pragma once

#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"

namespace monsoonmux {

// The properties of a worker, which change only if it is added again.
struct worker_info {
  worker_id id;
  pool_id pool;
  rack_id rack;
  resources total;
};

// Position of a worker in the table; valid for the lifetime of the table.
using worker_index = std::int32_t;
constexpr worker_index no_worker = -1;

// The free, allocated and reserved capacity of each worker in one domain.
//
// allocate() refuses amounts that do not fit, so the sum of the allocations of
// placed tasks never exceeds a worker's total. force_allocate() accounts for tasks
// that already run, as reported by the worker after a takeover; it may make the
// free capacity negative, in which case no more tasks are placed there.
class worker_table {
 public:
  struct row {
    worker_info info;
    resources free;
    resources reserved;     // Sum of the reservations, withheld from `free`.
    std::int32_t rack = 0;  // Dense number of the rack.
    std::int32_t pool = 0;  // Dense number of the pool.
    std::int32_t tasks = 0;
    bool usable = true;  // Reachable, not leaving, not quarantined.
    // When the first reservation here becomes ready; 0 if there is none.
    instant backfill_until;

    // The capacity available to a task that ends at `end`. Includes reserved
    // capacity if no reservation here is ready before that end.
    resources available(instant end) const {
      return end <= this->backfill_until ? this->free : this->free - this->reserved;
    }
  };

  // Adds a worker, or updates a known one and makes it usable again.
  worker_index add(const worker_info& info);
  worker_index find(const worker_id& id) const;
  void set_usable(worker_index worker, bool usable) { this->at(worker).usable = usable; }

  bool allocate(worker_index worker, const resources& amount);
  void force_allocate(worker_index worker, const resources& amount);
  void release(worker_index worker, const resources& amount);
  void reserve(worker_index worker, const resources& amount);
  void unreserve(worker_index worker, const resources& amount);
  void set_backfill_until(worker_index worker, instant until) {
    this->at(worker).backfill_until = until;
  }

  const row& operator[](worker_index worker) const { return this->at(worker); }
  const std::vector<row>& all() const { return this->rows; }
  // Dense number of a pool; the same for equal names.
  std::int32_t pool_number(const pool_id& pool);
  std::int32_t rack_count() const { return static_cast<std::int32_t>(this->racks.size()); }
  // Sum of the totals of usable workers.
  resources capacity() const;

 private:
  row& at(worker_index worker) { return this->rows[static_cast<std::size_t>(worker)]; }
  const row& at(worker_index worker) const { return this->rows[static_cast<std::size_t>(worker)]; }

  std::vector<row> rows;
  std::unordered_map<worker_id, worker_index> by_id;
  std::unordered_map<rack_id, std::int32_t> racks;
  std::unordered_map<pool_id, std::int32_t> pools;
};

}  // namespace monsoonmux
