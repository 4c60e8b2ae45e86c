#pragma once

#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"

namespace monsoonmux {

// What is fixed about a worker while it lives.
struct worker_info {
  worker_id id;
  pool_id pool;
  rack_id rack;
  resources total;
};

// Position of a worker in the table; stays valid while the table lives.
using worker_index = std::int32_t;
constexpr worker_index no_worker = -1;

// The ledger of one domain: what is free on each worker.
//
// reserve() refuses what does not fit, so the sum of what placements reserved
// never exceeds a worker's total. force() books what already runs, as reported
// by the worker after a takeover; it may leave a negative rest, on which
// nothing more is placed.
class worker_table {
 public:
  struct row {
    worker_info info;
    resources free;
    resources reserved;     // Part of `free` promised to a blocked unit.
    std::int32_t rack = 0;  // Dense number of the rack.
    std::int32_t pool = 0;  // Dense number of the pool.
    std::int32_t tasks = 0;
    bool usable = true;      // Reachable, not leaving, not set aside.
    instant backfill_until;  // Claims here cannot be used before; 0 if they can.

    // What a task that ends at `end` may use: free and unclaimed, or claimed
    // for a unit that cannot start before that end.
    resources available(instant end) const {
      return end <= this->backfill_until ? this->free : this->free - this->reserved;
    }
  };

  // Adds a worker, or brings back one that was removed.
  worker_index add(const worker_info& info);
  worker_index find(const worker_id& id) const;
  void set_usable(worker_index worker, bool usable) { this->at(worker).usable = usable; }

  bool allocate(worker_index worker, const resources& amount);
  void force_allocate(worker_index worker, const resources& amount);
  void release(worker_index worker, const resources& amount);
  void reservation(worker_index worker, const resources& amount);
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
