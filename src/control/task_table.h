#pragma once

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "place/plan.h"
#include "platform/worker_port.h"
#include "state/job.h"

namespace monsoonmux {

// Where a task stands in the hands of its placer.
enum class task_stage {
  waiting,   // To be queued, at or after `ready`.
  queued,    // In the scheduler's queue.
  starting,  // A start was sent and not confirmed.
  running,   // The worker confirmed it.
  stopping,  // A stop was sent.
  ended,     // Terminal.
};

struct task_entry {
  task_stage stage = task_stage::waiting;
  std::int32_t attempt = 1;
  worker_id worker;        // Where the present run was put.
  instant ready;           // Not queued before.
  instant start_deadline;  // The start takes effect by then, or never.
  instant confirmed_at;    // When the worker confirmed the start.
  instant next_stop;       // When to repeat the stop.
  stop_reason reason = stop_reason::reclaimed;
  std::int64_t started_ms = 0;        // Unix time.
  std::int32_t consecutive_ends = 0;  // Ends of a service in a row, for its backoff.
  bool may_have_run = false;          // The log knows of a run that nobody reported yet.
  std::set<worker_id> failed_on;

  bool holds_worker() const {
    return this->stage == task_stage::starting || this->stage == task_stage::running ||
           this->stage == task_stage::stopping;
  }
};

// The present run of a task.
inline task_run run_of(const task_id& id, const task_entry& task) {
  return {id, task.attempt};
}

// A job as its placer sees it: the tasks of this domain's part.
struct job_entry {
  job_spec spec;
  bool cancelled = false;
  bool unlogged = false;  // Runs here, but is not in the log as far as it was read.
  instant loaded;
  std::map<std::int32_t, task_entry> tasks;

  bool any_holds_worker() const;
  bool all_ended() const;
};

// The jobs and tasks that one domain's placer looks after.
class task_table {
 public:
  // Adds the job's unfinished tasks in the domain; no effect on known tasks.
  job_entry& load(const job& value, const domain_id& domain, instant now);
  // Adds a job of which nothing but a running task is known.
  job_entry& load_unlogged(const task_report& report, instant now);

  job_entry* find(const job_id& job);
  task_entry* find(const task_id& task);
  void erase(const job_id& job) { this->jobs.erase(job); }
  std::unordered_map<job_id, job_entry>& all() { return this->jobs; }
  std::size_t size() const { return this->jobs.size(); }

  // The units that became ready by `now`; their tasks are marked as queued. A
  // gang gives one unit once none of its tasks holds a worker.
  std::vector<std::shared_ptr<const pending_unit>> collect_ready(job_entry& job, instant now);
  // The unit of a task that already runs.
  static std::shared_ptr<const pending_unit> running_unit(const job_entry& job, std::int32_t index,
                                                          instant now);

 private:
  std::unordered_map<job_id, job_entry> jobs;
};

}  // namespace monsoonmux
