#pragma once

#include <compare>
#include <deque>
#include <map>
#include <memory>

#include "place/pending_unit.h"

namespace monsoonmux {

// The waiting units of one team, grouped by shape.
//
// Units of one shape request the same resources in the same pool, so if the
// first does not fit, none of them does. A planning round therefore tries one
// unit per shape, however many wait. Each shape has a FIFO queue.
class pending_queue {
 public:
  // The properties that determine whether a unit fits, and its priority.
  struct shape {
    bool normal = true;  // False sorts urgent units first.
    pool_id pool;
    work_kind kind = work_kind::batch;
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;
    std::size_t tasks = 0;
    // The unit avoids some workers, so it may not fit where others with the same
    // amounts do. Such units are grouped by job.
    bool restricted = false;
    job_id job;  // Set for restricted units only.

    auto operator<=>(const shape&) const = default;
  };
  using unit_queue = std::deque<std::shared_ptr<const pending_unit>>;
  using queues_by_shape = std::map<shape, unit_queue>;

  void push(std::shared_ptr<const pending_unit> unit);
  void push_front(std::shared_ptr<const pending_unit> unit);
  // Removes the first unit of the shape.
  void pop(const shape& key);
  void remove_job(const job_id& job);

  bool empty() const { return this->count == 0; }
  std::size_t size() const { return this->count; }
  const queues_by_shape& by_shape() const { return this->waiting; }
  // Sum of the demand of all waiting units.
  const resources& demand() const { return this->total; }

  static shape shape_of(const pending_unit& unit);

 private:
  queues_by_shape waiting;
  std::size_t count = 0;
  resources total;
};

}  // namespace monsoonmux
