#include "control/task_table.h"

#include <algorithm>

namespace monsoonmux {
namespace {

std::shared_ptr<pending_unit> unit_of(const job_entry& job, instant since) {
  auto unit = std::make_shared<pending_unit>();
  unit->job = job.spec.id;
  unit->team = job.spec.team;
  unit->pool = job.spec.pool;
  unit->kind = job.spec.kind;
  unit->priority = job.spec.priority;
  unit->per_task = job.spec.per_task;
  unit->declared_runtime = job.spec.declared_runtime;
  unit->since = since;
  unit->preemptible = job.spec.idempotent;
  return unit;
}

}  // namespace

bool job_entry::any_holds_worker() const {
  return std::any_of(this->tasks.begin(), this->tasks.end(),
                     [](const auto& item) { return item.second.holds_worker(); });
}

bool job_entry::all_ended() const {
  return std::all_of(this->tasks.begin(), this->tasks.end(),
                     [](const auto& item) { return item.second.stage == task_stage::ended; });
}

job_entry& task_table::load(const job& value, const domain_id& domain, instant now) {
  const auto [it, inserted] = this->jobs.try_emplace(value.spec.id);
  job_entry& entry = it->second;
  if (inserted) {
    entry.loaded = now;
  }
  entry.spec = value.spec;
  entry.unlogged = false;
  entry.cancelled = entry.cancelled || value.cancelled;
  for (const job_part& part : value.parts) {
    if (part.domain != domain) {
      continue;
    }
    for (std::int32_t i = part.first; i < part.first + part.count; ++i) {
      const auto index = static_cast<std::size_t>(i);
      if (index < value.tasks.size() && !terminal(value.tasks[index].phase)) {
        // The run in the log has used this attempt number, so the next run takes
        // the one after it. If the logged run is adopted, the number is reset.
        const bool ran = value.tasks[index].phase == task_phase::running;
        task_entry task;
        task.attempt = value.tasks[index].attempt + (ran ? 1 : 0);
        task.may_have_run = ran;
        entry.tasks.try_emplace(i, task);
      }
    }
  }
  return entry;
}

job_entry& task_table::load_unlogged(const task_report& report, instant now) {
  const auto [it, inserted] = this->jobs.try_emplace(report.task.job);
  job_entry& entry = it->second;
  if (inserted) {
    entry.loaded = now;
    entry.unlogged = true;
    entry.spec.id = report.task.job;
    entry.spec.per_task = report.amount;
    entry.spec.idempotent = false;  // Unknown, so do not preempt or repeat the task.
  }
  entry.tasks.try_emplace(report.task.index);
  return entry;
}

job_entry* task_table::find(const job_id& job) {
  const auto it = this->jobs.find(job);
  return it == this->jobs.end() ? nullptr : &it->second;
}

task_entry* task_table::find(const task_id& task) {
  job_entry* job = this->find(task.job);
  if (job == nullptr) {
    return nullptr;
  }
  const auto it = job->tasks.find(task.index);
  return it == job->tasks.end() ? nullptr : &it->second;
}

std::vector<std::shared_ptr<const pending_unit>> task_table::collect_ready(job_entry& job,
                                                                           instant now) {
  std::vector<std::shared_ptr<const pending_unit>> out;
  const bool gang = job.spec.kind == work_kind::gang;
  if (job.unlogged || job.cancelled || (gang && job.any_holds_worker())) {
    return out;
  }
  auto gang_unit = unit_of(job, now);
  for (auto& [index, task] : job.tasks) {
    if (task.stage != task_stage::waiting || task.ready > now) {
      continue;
    }
    task.stage = task_stage::queued;
    if (gang) {
      gang_unit->tasks.push_back(index);
      gang_unit->avoid.insert(task.failed_on.begin(), task.failed_on.end());
      continue;
    }
    auto unit = unit_of(job, now);
    unit->tasks = {index};
    unit->avoid = task.failed_on;
    out.push_back(std::move(unit));
  }
  if (!gang_unit->tasks.empty()) {
    out.push_back(std::move(gang_unit));
  }
  return out;
}

std::shared_ptr<const pending_unit> task_table::running_unit(const job_entry& job,
                                                             std::int32_t index, instant now) {
  auto unit = unit_of(job, now);
  unit->tasks = {index};
  return unit;
}

}  // namespace monsoonmux
