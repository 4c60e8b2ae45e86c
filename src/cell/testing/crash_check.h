#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cell/testing/fake_cell.h"

namespace monsoonmux::cell {

// Checks what the newest records in the log count against the runners that really crashed: a crash
// may be counted under a task only for a run whose runner crashed under it, or before any daemon
// acknowledged its end, and a job may be failed only if
// a task of it failed as often as its queue allows, or its runners crashed four times. A count may
// be wrong until later proof takes it back, so this is for the end of a play.
class crash_check {
 public:
  explicit crash_check(fake_cell& cell) : cell(cell) {}

  std::vector<std::string> broken() {
    std::vector<std::string> out;
    for (const auto& [key, logged] : this->cell.store.latest(work_topic)) {
      const auto parsed = parse_key(key);
      if (!parsed || parsed->kind != record_kind::progress) {
        continue;
      }
      if (const auto progress = decode_progress(logged.record.value)) {
        this->check_counts(parsed->job, *progress, out);
        this->check_phase(parsed->job, *progress, out);
      }
    }
    return out;
  }

  // The same for tasks that are done, by the last record that lists each. It allows for a crash of
  // the incarnation that the run was placed on, even if the run did not begin there or had ended,
  // as nobody may have told the leader. Once the job is over, nobody takes back what was counted
  // for a runner that was out of the list, and it means nothing any more.
  std::vector<std::string> broken_at_last() {
    last_counts noted;
    for (const logged_record& logged : this->cell.store.records(work_topic)) {
      const auto parsed = parse_key(logged.record.key);
      if (!parsed || parsed->kind != record_kind::progress) {
        continue;
      }
      if (const auto progress = decode_progress(logged.record.value)) {
        this->note_record(parsed->job, *progress, noted);
      }
    }
    std::vector<std::string> out;
    for (const auto& [task, count] : noted.counted) {
      std::set<std::int32_t> explained = noted.crashed[this->counted_for(task)];
      if (noted.over.contains(parse_task_ref(task)->in.job.text)) {
        const std::set<std::int32_t>& hidden = noted.hidden[this->counted_for(task)];
        explained.insert(hidden.begin(), hidden.end());
      }
      const auto runs = static_cast<int>(explained.size());
      if (count > runs) {
        out.push_back(task + " had " + std::to_string(count) + " crashes counted at last, and " +
                      std::to_string(runs) + " of its runs were on runners that crashed");
      }
    }
    return out;
  }

 private:
  static constexpr int crashes_to_give_up = 4;
  using runs_by_task = std::map<std::string, std::set<std::int32_t>>;  // Of a gang, by step.

  // What the last record says that lists a task, and all records of its runs.
  struct last_counts {
    std::map<std::string, int> counted;  // By task.
    runs_by_task crashed;                // Placed on runners that crashed.
    runs_by_task hidden;                 // Placed on runners that were up and not in the list.
    std::set<std::string> over;          // Jobs.
  };

  static task_ref task_of(const job_id& job, const occurrence_progress& occurrence,
                          const task_progress& task) {
    return {{job, occurrence.number, task.step}, task.index};
  }
  // What the history counts for the task; of a gang, for all of its members.
  int sum(const std::map<std::string, int>& counts, const task_ref& task) const {
    const std::string name = task.text();
    const bool gang = this->cell.history.in_gang(name);
    const std::string step = run_history::step_of(name);
    int out = 0;
    for (const auto& [counted, count] : counts) {
      out += counted == name || (gang && counted.starts_with(step)) ? count : 0;
    }
    return out;
  }

  int crashes_of(const task_ref& task) const {
    return this->sum(this->cell.history.crashes, task) +
           this->sum(this->cell.history.crashes_with_end, task);
  }

  // What the crashes are counted for: the step of a gang, any other task.
  std::string counted_for(const std::string& task) const {
    return this->cell.history.in_gang(task) ? run_history::step_of(task) : task;
  }
  void note_record(const job_id& job, const job_progress& progress, last_counts& noted) const {
    const run_history& history = this->cell.history;
    if (is_final(progress.phase)) {
      noted.over.insert(job.text);
    }
    for (const occurrence_progress& occurrence : progress.occurrences) {
      for (const task_progress& t : occurrence.tasks) {
        const std::string task = task_of(job, occurrence, t).text();
        noted.counted[task] = t.crashes;
        if (history.crashed_incarnations.contains({t.runner, t.runner_incarnation})) {
          noted.crashed[this->counted_for(task)].insert(t.run);
        }
        if (history.hidden_incarnations.contains({t.runner, t.runner_incarnation})) {
          noted.hidden[this->counted_for(task)].insert(t.run);
        }
      }
    }
  }

  void check_counts(const job_id& job, const job_progress& progress,
                    std::vector<std::string>& out) const {
    for (const occurrence_progress& occurrence : progress.occurrences) {
      for (const task_progress& t : occurrence.tasks) {
        const task_ref task = task_of(job, occurrence, t);
        const int real = this->crashes_of(task);
        if (t.crashes > real) {
          out.push_back(task.text() + " has " + std::to_string(t.crashes) +
                        " crashes counted, and its runners crashed " + std::to_string(real) +
                        " times");
        }
      }
    }
  }

  void check_phase(const job_id& job, const job_progress& progress,
                   std::vector<std::string>& out) const {
    if (progress.phase != job_phase::failed) {
      return;
    }
    for (const occurrence_progress& occurrence : progress.occurrences) {
      for (const task_progress& t : occurrence.tasks) {
        if (this->may_end_its_job(task_of(job, occurrence, t))) {
          return;
        }
      }
    }
    out.push_back(job.text + " is failed without cause");
  }
  bool may_end_its_job(const task_ref& task) const {
    const step_spec* const shape = this->cell.history.shape_of(task);
    const bool lasts = shape != nullptr && shape->long_running;
    return this->crashes_of(task) >= crashes_to_give_up ||
           (!lasts && this->sum(this->cell.history.failures, task) >= this->attempts_of(task));
  }
  // The fewest of the queues that lead to the job's pool.
  int attempts_of(const task_ref& task) const {
    const pool_id& pool = this->cell.history.jobs.at(task.in.job.text).pool;
    int out = std::numeric_limits<int>::max();
    for (const queue_config& queue : this->cell.config.queues) {
      if (queue.pool == pool) {
        out = std::min(out, static_cast<int>(queue.max_attempts));
      }
    }
    return out;
  }

  fake_cell& cell;
};

// For the end of a play, when all runners have been back for a while.
inline void check_crash_counts(fake_cell& cell) {
  for (const std::string& broken : crash_check(cell).broken()) {
    FAIL_CHECK(broken);
  }
}
// The same for a play whose jobs are over.
inline void check_crash_counts_at_last(fake_cell& cell) {
  for (const std::string& broken : crash_check(cell).broken_at_last()) {
    FAIL_CHECK(broken);
  }
}

}  // namespace monsoonmux::cell
