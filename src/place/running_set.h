#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "place/pending_unit.h"
#include "place/worker_table.h"

namespace monsoonmux {

// A task that has resources allocated on a worker: started, or about to start.
struct running_task {
  task_id id;
  std::shared_ptr<const pending_unit> unit;
  worker_index worker = no_worker;
  resources allocated;
  instant started;
  instant checkpointed;     // Work done up to this time survives a stop.
  bool stopping = false;    // A stop was decided; its resources will be released.
  bool backfilled = false;  // Uses capacity that is reserved for another unit.

  instant declared_end() const { return this->started + this->unit->declared_runtime; }
};

// All tasks with allocated resources in one domain, indexed by id, worker and
// job.
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
