#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "model/cell_record.h"

namespace monsoonmux::cell {

// The state of one job according to the log.
struct job_record {
  std::optional<job_submission> submission;  // Its spec is cleared once the job is settled.
  std::optional<job_progress> progress;
  std::int64_t progress_offset = -1;  // Log offset of the record in `progress`.
  bool cancelled = false;
  // The phase that the leader reported before its record was read from the log.
  std::optional<job_phase> leader_phase;

  // The phase that callers are shown.
  job_phase phase() const;
  // The attempts that the log has for the job; 0: none.
  std::int32_t recorded_attempts() const;
  // True if the job is final and no run of it can still be on a runner.
  bool settled() const;
};

// The effect of applying a log record.
enum class job_table_change { nothing, submitted, cancelled, progressed, learned, unreadable };

// All jobs of the cell, derived from the log. Every daemon keeps a table and answers
// callers from it; a new leader starts from its own.
//
// A record may be applied more than once, submissions of one job may come from several
// daemons, and the leader applies its own records before it reads them from the log. So
// the first submission of a job wins, the progress with the highest epoch and offset
// wins, and a cancellation is never undone.
class job_table {
 public:
  job_table_change apply(const keyed_record& record, std::int64_t offset);
  // Sets the phase of the job that the leader reported as written to the log. The
  // details follow with the records.
  void set_leader_phase(const job_id& job, job_phase phase);

  const job_record* find(const job_id& job) const;
  const std::unordered_map<job_id, job_record>& jobs() const { return this->records; }
  // Number of accepted jobs of the queue of which no task has started, without timed
  // jobs.
  std::int64_t pending(const queue_id& queue) const;
  // The run time statistics of the newest leader; nothing if none was written yet.
  const std::optional<run_time_stats>& run_times() const { return this->times; }
  // Where the runners were reached, by their ids, as the newest leader knew.
  const std::map<std::string, runner_contact>& contacts() const { return this->contacts_by_runner; }
  void clear();

 private:
  job_table_change apply_run_times(const std::string& value);
  // Without a value the runner is forgotten.
  job_table_change apply_contact(const std::string& runner, const std::string& value);
  job_table_change apply_submission(const job_id& job, const std::string& value);
  job_table_change apply_progress(const job_id& job, const std::string& value, std::int64_t offset);
  // Frees the spec and the task states of a settled job.
  static void drop_details(job_record& entry);
  static bool counts_as_pending(const job_record& record);
  // Updates the pending count after a change of the record.
  void recount(const job_record& record, bool counted_before);

  std::optional<run_time_stats> times;
  std::map<std::string, runner_contact> contacts_by_runner;
  std::unordered_map<job_id, job_record> records;
  std::unordered_map<queue_id, std::int64_t> pending_by_queue;
};

}  // namespace monsoonmux::cell
