#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "place/pending_unit.h"
#include "place/worker_table.h"

namespace monsoonmux {

// A task that holds resources on a worker: started, or about to be.
struct running_task {
  task_id id;
  std::shared_ptr<const pending_unit> unit;
  worker_index worker = no_worker;
  resources allocated;
  instant started;
  instant checkpointed;     // Work up to here would survive a stop.
  bool stopping = false;    // A stop was decided; its resources come back.
  bool backfilled = false;  // Uses capacity that is claimed for another unit.

  instant declared_end() const { return this->started + this->unit->declared_runtime; }
};

// All tasks that hold resources in one domain, found by id, worker and job.
class running_set {
 public:
  // Pointers stay valid until the task is removed.
  running_task* insert(running_task task);
  running_task* find(const task_id& id);
  const running_task* find(const task_id& id) const;
  void erase(const task_id& id);

  std::size_t size() const { return this->by_id.size(); }
  const std::vector<running_task*>& on_worker(worker_index worker) const;
  const std::vector<running_task*>& of_job(const job_id& job) const;
  template <class Visitor>
  void for_each(Visitor visit) {
    for (auto& [id, task] : this->by_id) {
      visit(*task);
    }
  }

 private:
  std::unordered_map<task_id, std::unique_ptr<running_task>> by_id;
  std::vector<std::vector<running_task*>> by_worker;
  std::unordered_map<job_id, std::vector<running_task*>> by_job;
};

}  // namespace monsoonmux
