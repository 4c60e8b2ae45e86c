#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "model/cell_record.h"

namespace monsoonmux::cell {

// What the log says of one job.
struct job_record {
  std::optional<job_submission> submission;  // Its spec is emptied once the job is settled.
  std::optional<job_progress> progress;
  std::int64_t progress_offset = -1;  // Of the record that `progress` is from.
  bool cancelled = false;
  std::optional<job_phase> leader_phase;  // By the owner, ahead of the log.

  // The phase that callers are shown.
  job_phase phase() const;
  // True if it is final and none of its runs may be left on a runner.
  bool settled() const;
};

// What a record changed.
enum class job_table_change { nothing, submitted, cancelled, progressed, learned, unreadable };

// All jobs of the cell, as a function of the log. Every daemon keeps one; it
// answers callers from it, and an owner starts from it.
//
// Records may come more than once and submissions of one job from several
// daemons, and the owner's own before it reads them; the first submission stands, the
// progress of the highest epoch and offset stands, and a cancellation stands for good.
class job_table {
 public:
  job_table_change apply(const keyed_record& record, std::int64_t offset);
  // The owner says that the job is in this phase in the log. Records that come later
  // say the rest.
  void set_leader_phase(const job_id& job, job_phase phase);

  const job_record* find(const job_id& job) const;
  const std::unordered_map<job_id, job_record>& jobs() const { return this->records; }
  // Accepted jobs of the queue of which no task has started; timed ones aside.
  std::int64_t pending(const queue_id& queue) const;
  // What the newest owner learned of run times; nothing if no owner wrote it yet.
  const std::optional<run_time_stats>& run_times() const { return this->times; }
  void clear();

 private:
  job_table_change apply_run_times(const std::string& value);
  job_table_change apply_submission(const job_id& job, const std::string& value);
  job_table_change apply_progress(const job_id& job, const std::string& value, std::int64_t offset);
  static void drop_details(job_record& entry);
  static bool counts_as_pending(const job_record& record);
  void recount(const job_record& record, bool counted_before);

  std::optional<run_time_stats> times;
  std::unordered_map<job_id, job_record> records;
  std::unordered_map<queue_id, std::int64_t> pending_by_queue;
};

}  // namespace monsoonmux::cell
