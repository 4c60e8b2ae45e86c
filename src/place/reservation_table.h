#pragma once

#include <memory>
#include <vector>

#include "place/pending_unit.h"
#include "place/worker_table.h"

namespace monsoonmux {

// Capacity reserved for one blocked unit, to be freed by preempted tasks or by
// tasks that end.
struct reservation {
  std::shared_ptr<const pending_unit> unit;
  std::vector<worker_index> assigned_workers;
  instant created;
  // Earliest start of the unit by the declared run times; equal to `created` if
  // tasks were preempted for the unit.
  instant ready;
};

// The reservations of one domain. Reserved amounts are withheld from other
// units; the worker table keeps the sum per worker.
class reservation_table {
 public:
  explicit reservation_table(worker_table& workers) : workers(workers) {}

  void add(reservation value);
  const reservation* find(const pending_unit* unit) const;
  // Releases the reserved amounts. No effect if the unit has no reservation.
  void drop(const pending_unit* unit);
  void drop_job(const job_id& job);
  // Drops unused reservations that became ready before the given instant.
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
