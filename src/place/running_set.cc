#include "place/running_set.h"

#include <algorithm>

namespace monsoonmux {
namespace {

const std::vector<running_task*> no_tasks;

void swap_remove(std::vector<running_task*>& from, const running_task* task) {
  const auto it = std::find(from.begin(), from.end(), task);
  *it = from.back();
  from.pop_back();
}

}  // namespace

running_task* running_set::insert(running_task task) {
  auto owned = std::make_unique<running_task>(std::move(task));
  running_task* raw = owned.get();
  const auto worker = static_cast<std::size_t>(raw->worker);
  if (this->by_worker.size() <= worker) {
    this->by_worker.resize(worker + 1);
  }
  this->by_worker[worker].push_back(raw);
  this->by_job[raw->id.job].push_back(raw);
  this->by_id[raw->id] = std::move(owned);
  return raw;
}

running_task* running_set::find(const task_id& id) {
  const auto it = this->by_id.find(id);
  return it == this->by_id.end() ? nullptr : it->second.get();
}

const running_task* running_set::find(const task_id& id) const {
  const auto it = this->by_id.find(id);
  return it == this->by_id.end() ? nullptr : it->second.get();
}

void running_set::erase(const task_id& id) {
  const auto it = this->by_id.find(id);
  if (it == this->by_id.end()) {
    return;
  }
  const running_task* task = it->second.get();
  swap_remove(this->by_worker[static_cast<std::size_t>(task->worker)], task);
  const auto job = this->by_job.find(id.job);
  swap_remove(job->second, task);
  if (job->second.empty()) {
    this->by_job.erase(job);
  }
  this->by_id.erase(it);
}

const std::vector<running_task*>& running_set::on_worker(worker_index worker) const {
  const auto index = static_cast<std::size_t>(worker);
  return index < this->by_worker.size() ? this->by_worker[index] : no_tasks;
}

const std::vector<running_task*>& running_set::of_job(const job_id& job) const {
  const auto it = this->by_job.find(job);
  return it == this->by_job.end() ? no_tasks : it->second;
}

}  // namespace monsoonmux
