#pragma once

#include <map>
#include <vector>

#include "base/clock.h"
#include "decide/task_ref.h"
#include "model/cell_record.h"

namespace monsoonmux::cell {

// How a run ended, as its runner says; `lost` is our own conclusion that it
// cannot be running any more.
enum class run_outcome { done, failed, stopped, lapsed, broken, alone, lost };
std::string_view to_string(run_outcome how);

// One task as its owner sees it.
struct live_task {
  task_phase phase = task_phase::waiting;
  std::int32_t run = 0;
  std::int32_t failures = 0;
  std::int32_t failed_run = 0;  // Of a gang: the latest run that counted as a failure.
  std::string runner;
  std::int64_t runner_incarnation = 0;
  std::string checkpoint;
  std::string last_failed_on;  // Runner of its latest failed run.
  instant placed_at;           // Or when the present owner took it over.
  // Placed by a former owner; nobody knows how long it has been running.
  bool inherited = false;
  bool resumed = false;  // Its run began with the progress of an earlier one.
};

struct live_step {
  std::vector<live_task> tasks;
  std::int32_t done = 0;

  bool complete() const { return this->done == static_cast<std::int32_t>(this->tasks.size()); }
};

struct live_occurrence {
  std::vector<live_step> steps;

  bool complete() const;
};

// What the end of a run means for its job.
struct end_effect {
  bool counted = false;  // False: the end is of a run that is no longer current.
  bool step_done = false;
  bool job_final = false;
};

// A job that is not final: which task is waiting, placed or done, and what each
// end leads to. Knows nothing of runners' room, of time limits or of the log.
class live_job {
 public:
  // `progress` is what the log has of it, if anything; `accepted`: when the job was.
  live_job(job_submission submission, const std::optional<job_progress>& progress,
           std::int32_t max_attempts, instant now, instant accepted);

  const job_submission& submission() const { return this->accepted; }
  const job_spec& spec() const { return this->accepted.spec; }
  // On the clock that measures durations: a jump of the time of day ages no job.
  instant accepted_at() const { return this->accepted_time; }
  job_phase phase() const { return this->state; }
  std::map<std::int32_t, live_occurrence>& occurrences() { return this->open_occurrences; }

  // Opens the occurrences that are due; true if there were any. Unix time in ms.
  bool open_due(std::int64_t wall_ms);
  // Unix time in ms of the next occurrence; 0 if all are open.
  std::int64_t next_due_ms() const;
  // True if all steps that this one depends on are done.
  bool step_ready(const live_occurrence& occurrence, std::int32_t step) const;
  live_task* find(const task_ref& task);

  // Marks a waiting task as placed, under the given run number.
  void place(const task_ref& task, std::int32_t run, const std::string& runner,
             std::int64_t runner_incarnation, instant now);
  // The run number that the next start of the task takes; one for a whole gang.
  std::int32_t next_run(const task_ref& task);
  end_effect finish(const task_ref& task, std::int32_t run, run_outcome how,
                    const std::string& checkpoint);
  // What the task's next start resumes from; empty: from the beginning.
  std::string checkpoint_of(const task_ref& task) const;
  // Nothing starts any more; placed runs have to be stopped.
  void cancel();
  bool has_placed_tasks() const;

  job_progress progress(epoch leader_epoch) const;

 private:
  live_occurrence new_occurrence() const;
  void mark_done(live_step& step, live_task& task);
  void finish_done(live_step& step, const step_spec& shape, live_task& task);
  void count_failure(live_step& step, const step_spec& shape, live_task& task);
  void close_complete_occurrences();

  job_submission accepted;
  std::int32_t max_attempts;
  instant accepted_time;
  job_phase state = job_phase::queued;
  bool ever_started = false;  // Some run of it was on a runner.
  std::int32_t first_unfinished = 0;
  std::int32_t next_occurrence = 0;
  std::map<std::int32_t, live_occurrence> open_occurrences;
};

}  // namespace monsoonmux::cell
