#pragma once

#include <memory>
#include <vector>

#include "place/pending_unit.h"
#include "place/worker_table.h"

namespace monsoonmux {

// Capacity promised to one blocked unit: room that stops or ends will free.
struct reservation {
  std::shared_ptr<const pending_unit> unit;
  std::vector<worker_index> assigned_workers;
  instant created;
  instant ready;  // Not usable before; `made` if victims were stopped for it.
};

// The claims of one domain. Holding a claim takes its amounts out of what other
// units may use; the worker table does the sums.
class reservation_table {
 public:
  explicit reservation_table(worker_table& workers) : workers(workers) {}

  void add(reservation value);
  const reservation* of(const pending_unit* unit) const;
  // Gives the amounts back. No effect if the unit holds no claim.
  void drop(const pending_unit* unit);
  void drop_job(const job_id& job);
  // Drops claims that were ready before the given instant and not used.
  void expire(instant ready_before);
  std::size_t size() const { return this->reservations.size(); }
  const std::vector<reservation>& all() const { return this->reservations; }

 private:
  void release(const reservation& value);
  void update_backfill_until(worker_index worker);

  worker_table& workers;
  std::vector<reservation> reservations;
};

}  // namespace monsoonmux
