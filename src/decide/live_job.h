#pragma once

#include <map>
#include <vector>

#include "base/clock.h"
#include "decide/isolation.h"
#include "decide/task_ref.h"
#include "model/cell_record.h"

namespace monsoonmux::cell {

// How a run ended, as reported by its runner; `lost` and `crashed` are the leader's own
// conclusions: the run cannot be running any more, and that is since its runner crashed.
enum class run_outcome { done, failed, stopped, lapsed, broken, alone, lost, crashed };
std::string_view to_string(run_outcome outcome);

// The leader's record of one task.
struct live_task {
  task_phase phase = task_phase::waiting;
  std::int32_t run = 0;
  std::int32_t failures = 0;
  std::int32_t crashes = 0;  // Runs under which the runner crashed.
  // Those of them that this leader has counted, of a gang each with the number of runners. Of a
  // gang also the latest one that an earlier leader has counted.
  struct crashed_run {
    std::int32_t run = 0;
    std::int32_t runners = 1;
  };
  std::vector<crashed_run> crashed_runs;
  bool alone = false;  // Nothing else was or will be placed on its runner.
  // The longest time from a placement of the task until its runner was found to have crashed;
  // 0: this leader has seen no crash under it.
  millis time_to_crash{0};
  // The present run has lasted for longer than the task's crashes took to come.
  bool acquitted = false;
  // Its latest run was lost, and its runner may have crashed under it.
  bool suspected = false;
  // A run of it was lost that may have crashed its runner. With one crash more the task would be
  // given up, so it does not start until that is known.
  bool held = false;
  std::string runner;
  std::int64_t runner_incarnation = 0;
  std::string checkpoint;
  std::string last_failed_on;  // Runner of the latest failed run.
  // The failed runs that this leader has counted.
  struct failed_run {
    std::int32_t run = 0;
    std::string runner;
  };
  std::vector<failed_run> failed_runs;
  instant placed_at;  // If inherited: when the current leader took the task over.
  // Placed by a previous leader, so it is unknown for how long the run has been running.
  bool inherited = false;
  // The present run of a lasting task has lasted for so long that it is not the cause when its
  // runner crashes, by what this leader or an earlier one has seen.
  bool lasted = false;
  bool resumed = false;  // The run began from a checkpoint of an earlier one.
  // When its latest run ended, or the current leader took over if that was before; `never`: it has
  // had no run.
  instant waits_since = never;
};

// How far the task's present or next run is kept from others.
isolation isolation_of(const live_task& task);

struct live_step {
  std::vector<live_task> tasks;
  std::int32_t done = 0;

  bool complete() const { return this->done == static_cast<std::int32_t>(this->tasks.size()); }
};

// The run time of the longest chain of steps that depend on each other, as expected.
struct expected_path {
  millis whole;
  millis left;  // Of those that are not complete.
  // When, and with how many complete steps, that was reckoned.
  instant reckoned_at;
  std::size_t complete_steps = 0;
  bool is_known = false;
};

struct live_occurrence {
  std::vector<live_step> steps;
  expected_path path;  // Kept by the urgency_evaluator.

  bool complete() const;
};

// A run of a task that an earlier run has done, so it must not start and has to stop.
struct superseded_run {
  std::string runner;
  task_ref task;
  std::int32_t run = 0;
};

// The effect of the end of a run on its job.
struct end_effect {
  bool counted = false;  // False: the end changes nothing.
  std::vector<superseded_run> superseded;
  bool step_done = false;
  bool job_final = false;
  bool given_up = false;  // Too many runners crashed under the task.
};

// State machine of a job that is not final: which tasks are waiting, placed or done, and
// what the end of a run changes. Knows nothing of runner capacity, time limits or the log.
class live_job {
 public:
  // `progress`: the job's progress in the log, if any; `accepted`: when it was accepted.
  live_job(job_submission submission, const std::optional<job_progress>& progress,
           std::int32_t max_attempts, instant now, instant accepted);

  const job_submission& submission() const { return this->accepted; }
  const job_spec& spec() const { return this->accepted.spec; }
  // Failed runs of a task after which the job is failed.
  std::int32_t attempts() const { return this->max_attempts; }
  // Sets their number, by a newer configuration. Returns true if a task has had as many already, so
  // that the job is failed now.
  bool set_attempts(std::int32_t attempts);
  // The same for failures to come; those that the tasks have had do not fail the job.
  void keep_attempts(std::int32_t attempts) { this->max_attempts = attempts; }
  // On the monotonic clock, so a jump of the wall clock does not change the job's age.
  instant accepted_at() const { return this->accepted_time; }
  job_phase phase() const { return this->state; }
  std::map<std::int32_t, live_occurrence>& occurrences() { return this->open_occurrences; }

  // Opens the occurrences that are due at `wall_ms`, Unix time in ms; true if there were
  // any.
  bool open_due(std::int64_t wall_ms);
  // Unix time in ms of the next occurrence to open; 0 if none is left.
  std::int64_t next_due_ms() const;
  // True if all steps that the step depends on are done.
  bool step_ready(const live_occurrence& occurrence, std::int32_t step) const;
  live_task* find(const task_ref& task);
  const live_task* find(const task_ref& task) const;

  // Marks a waiting task as placed, under the given run number.
  void place(const task_ref& task, std::int32_t run, const std::string& runner,
             std::int64_t runner_incarnation, instant now);
  // The lasting tasks that wait and have had a run; none if the job is final.
  std::vector<task_ref> interrupted_tasks() const;
  // The run number for the next start of the task. All members of a gang share it.
  std::int32_t next_run(const task_ref& task);
  // True if the job would be failed if this run ended as failed.
  bool would_fail(const task_ref& task, std::int32_t run) const;
  // Applies the end of a run. Of an earlier run than the current one, which was given up,
  // only `done` counts: the task must not run again then.
  end_effect finish(const task_ref& task, std::int32_t run, run_outcome outcome,
                    const std::string& checkpoint);
  // A run that was taken for lost was on a runner that has crashed, as is known now. `was_alone`:
  // nothing else was on that runner.
  end_effect crashed_after_all(const task_ref& task, std::int32_t run, bool was_alone);
  // The runner of a run that counts as a crash turns out not to have crashed. Returns true if the
  // count is lower now.
  bool disprove_crash(const task_ref& task, std::int32_t run);
  // Notes which runs of lasting tasks have lasted for `enough`. Returns true if that is new for
  // one, so that it should be recorded.
  bool note_lasted_runs(instant now, millis enough);
  // The task has run for longer than its crashes took to come, so it is not their cause: its run
  // is not kept from others any more. A lasting task's crashes are forgotten; for others they still
  // count, as the number of their starts is bounded.
  void acquit(const task_ref& task);
  // The checkpoint that the task's next run resumes from; empty: it starts afresh.
  std::string checkpoint_of(const task_ref& task) const;
  // Marks the job as cancelled: no task starts any more. The caller stops placed runs.
  void cancel();
  bool has_placed_tasks() const;

  job_progress progress(epoch leader_epoch) const;

 private:
  live_occurrence new_occurrence() const;
  bool is_late_done(const live_task& t, const step_spec& shape, std::int32_t run,
                    run_outcome outcome) const;
  static std::vector<superseded_run> superseded_by(const task_ref& task, std::int32_t run,
                                                   const live_step& step, const step_spec& shape);
  void mark_done(live_step& step, live_task& task);
  void finish_done(live_step& step, const step_spec& shape, live_task& task);
  bool out_of_attempts(const step_spec& shape, const live_task& task) const;
  static void count_failure(live_task& task);
  // Failed runs of the task; of a gang, of any member.
  std::int32_t failures_of(const task_ref& task) const;
  static void count_crash(live_step& step, const step_spec& shape, live_task& task,
                          std::int32_t run);
  std::vector<counted_gang_crash> counted_gang_crashes() const;
  std::vector<lasted_runs> all_lasted_runs() const;
  void restore_lasted_runs(const std::vector<lasted_runs>& lasted);
  void restore_gang_crashes(const std::vector<counted_gang_crash>& counted);
  // Gives the job up if too many runners have crashed under the task.
  void apply_crash_bound(const live_task& task, bool was_alone, end_effect& effect);
  void close_complete_occurrences();

  job_submission accepted;
  std::int32_t max_attempts;
  instant accepted_time;
  job_phase state = job_phase::queued;
  bool ever_started = false;  // A run of the job has been on a runner.
  std::int32_t first_unfinished = 0;
  std::int32_t next_occurrence = 0;
  std::map<std::int32_t, live_occurrence> open_occurrences;
};

}  // namespace monsoonmux::cell
