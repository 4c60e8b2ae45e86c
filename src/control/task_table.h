#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "place/plan.h"
#include "platform/worker_port.h"
#include "state/job.h"

namespace monsoonmux {

// The state of a task at its placer.
enum class task_stage {
  waiting,   // Will be queued, not before `ready`.
  queued,    // In the scheduler's queue.
  starting,  // Placed; the start is not confirmed.
  running,   // The worker confirmed the start.
  stopping,  // A stop command was sent.
  ended,     // Terminal.
};

// A run of a task that was considered lost, and has succeeded after all.
struct earlier_success {
  worker_id worker;
  std::int32_t attempt = 0;
  std::int64_t started_ms = 0;  // Unix time.
};

struct task_entry {
  task_stage stage = task_stage::waiting;
  std::int32_t attempt = 1;
  worker_id worker;        // The worker of the present run.
  instant ready;           // The task is not queued before this time.
  instant start_deadline;  // The start takes effect by this time or never.
  instant confirmed_at;    // When the worker confirmed the start.
  instant next_stop;       // When to send the stop command again.
  stop_reason reason = stop_reason::reclaimed;
  std::int64_t started_ms = 0;        // Unix time.
  std::int32_t service_failures = 0;  // Of a service, for its restart backoff.
  bool may_have_run = false;          // The log has a run that no worker reported yet.
  std::set<worker_id> failed_on;
  // The task ends as this run did, as soon as the present run no longer holds its worker.
  std::optional<earlier_success> succeeded_before;

  bool holds_worker() const {
    return this->stage == task_stage::starting || this->stage == task_stage::running ||
           this->stage == task_stage::stopping;
  }
};

// The present run of a task.
inline task_run run_of(const task_id& id, const task_entry& task) {
  return {id, task.attempt};
}

// A job with those of its unfinished tasks that are assigned to this domain.
struct job_entry {
  job_spec spec;
  bool cancelled = false;
  bool unlogged = false;  // Reported by a worker, but not in the log as read.
  instant loaded;
  std::map<std::int32_t, task_entry> tasks;

  bool any_holds_worker() const;
  bool all_ended() const;
};

// The jobs and tasks managed by the placer of one domain.
class task_table {
 public:
  // Adds the job's unfinished tasks in the domain. Tasks that are in the table
  // already are left unchanged.
  job_entry& load(const job& value, const domain_id& domain, instant now);
  // Adds a job that is known only from the report of a running task.
  job_entry& load_unlogged(const task_report& report, instant now);

  job_entry* find(const job_id& job);
  task_entry* find(const task_id& task);
  void erase(const job_id& job) { this->jobs.erase(job); }
  std::unordered_map<job_id, job_entry>& all() { return this->jobs; }
  std::size_t size() const { return this->jobs.size(); }

  // Returns the units that are ready at `now` and marks their tasks as queued. A
  // gang yields a single unit, and only when none of its tasks holds a worker.
  std::vector<std::shared_ptr<const pending_unit>> collect_ready(job_entry& job, instant now);
  // Returns a unit for a task that already runs.
  static std::shared_ptr<const pending_unit> running_unit(const job_entry& job, std::int32_t index,
                                                          instant now);

 private:
  std::unordered_map<job_id, job_entry> jobs;
};

}  // namespace monsoonmux
