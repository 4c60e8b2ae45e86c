#pragma once

#include <memory>
#include <vector>

#include "place/pending_unit.h"
#include "place/worker_table.h"

namespace monsoonmux {

// Capacity promised to one blocked unit: room that stops or ends will free.
struct claim {
  std::shared_ptr<const pending_unit> unit;
  std::vector<worker_index> spots;
  instant made;
  instant ready;  // Not usable before; `made` if victims were stopped for it.
};

// The claims of one domain. Holding a claim takes its amounts out of what other
// units may use; the worker table does the sums.
class claim_book {
 public:
  explicit claim_book(worker_table& workers) : workers(workers) {}

  void add(claim value);
  const claim* of(const pending_unit* unit) const;
  // Gives the amounts back. No effect if the unit holds no claim.
  void drop(const pending_unit* unit);
  void drop_job(const job_id& job);
  // Drops claims that were ready before the given instant and not used.
  void expire(instant ready_before);
  std::size_t size() const { return this->claims.size(); }
  const std::vector<claim>& all() const { return this->claims; }

 private:
  void give_back(const claim& value);
  void update_drain(worker_index worker);

  worker_table& workers;
  std::vector<claim> claims;
};

}  // namespace monsoonmux
