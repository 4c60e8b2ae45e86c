#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"
#include "decide/isolation.h"
#include "decide/runner_number.h"
#include "decide/task_ref.h"
#include "model/runner_entry.h"

namespace monsoonmux::cell {

// A run that may be on a runner, with the capacity that it takes there.
struct allocation {
  task_ref task;
  std::int32_t run = 0;
  team_id team;
  resources capacity_used;  // Counted against the runner's capacity.
  resources quota_used;     // Counted against the team's quota.
  bool best_effort = false;
  bool latency_sensitive = false;
  instant since;       // When the start was decided, or when the current leader took over.
  millis expected{0};  // Expected duration; 0: the run is long-running.
  // The expected duration was learned from runs that ended. A declared one is too
  // inaccurate to tell from it that a run has stalled.
  bool expected_is_learned = false;
  std::int32_t priority = 0;  // Of its queue; 0 comes first.
  bool resumable = false;     // A stop loses no work: the run saves a checkpoint then.
  millis slack{0};            // The job can wait this long in total and still be in time.
  bool stopping = false;      // It is being stopped, for instance for more urgent work.
  // The runner reported the run, but this leader neither started nor inherited it, or had
  // closed it already.
  bool untracked = false;
  isolation kept = isolation::none;
  bool need_known = true;  // False: its job is unknown, so nothing may be placed beside it.
  bool gets_on = false;    // Its runner's reports show progress.

  // `never` if it is long-running. A run that is late is expected to be as late again.
  instant expected_end(instant now) const;
  // The same, but a run that is late may end now.
  instant earliest_end(instant now) const;
};

// Identifies a run on a runner.
struct run_key {
  task_ref task;
  std::int32_t run = 0;
  auto operator<=>(const run_key&) const = default;
};

// Why a runner takes no new work; `none`: it takes some.
enum class work_refusal : std::uint8_t {
  none,
  not_listed,
  not_admitted,  // It has not answered under our fencing token, or is out of contact.
  draining,
  stalled,       // Quarantined: its runs have stalled.
  failing,       // Quarantined: its last runs failed.
  unknown_need,  // It has a run of an unknown job.
};
std::string_view to_string(work_refusal refusal);

// The begin or the end of a runner's quarantine.
struct quarantine_change {
  std::string runner;
  bool begins = false;
  work_refusal why = work_refusal::none;
  std::int32_t overdue = 0;  // Of its runs when it was found to be stalled.
  std::int32_t others = 0;
  millis lasted{0};  // 0 at its begin.
};

// The leader's record of one runner.
struct runner_state {
  runner_entry entry;
  runner_number number;
  bool listed = false;      // A readable entry of it is in the discovery list.
  bool unreadable = false;  // Its entry there cannot be read.
  // When the removal of its entry was seen, if it is neither listed nor unreadable.
  instant unlisted_since{0};
  bool admitted = false;  // It answered under our fencing token; its capacity is known.
  // The latest incarnation before the present one that was draining when it was last listed.
  std::int64_t drained_incarnation = 0;
  std::map<run_key, allocation> allocations;
  resources used;
  std::int32_t best_effort_runs = 0;
  std::int32_t latency_sensitive_runs = 0;
  std::int32_t runs_of_unknown_need = 0;
  std::int32_t runs_kept_alone = 0;
  std::int32_t suspect_runs = 0;  // Those kept apart or alone.
  std::int32_t consecutive_failures = 0;
  instant quarantined_until{0};  // No new work is placed on it before this time.
  work_refusal quarantined_for = work_refusal::failing;
  instant quarantined_since = never;  // `never`: it was not, or the end was told.
  bool may_be_slow = false;           // Most of its runs take long, though they may get on.
  // When its runs are given up if it stays out of contact; `never` while it is in contact.
  instant runs_given_up_at = never;

  resources free_capacity() const { return this->entry.capacity - this->used; }
  // The first reason that applies.
  work_refusal refusal(instant now) const;
  bool takes_work(instant now) const { return this->refusal(now) == work_refusal::none; }
  bool has_label(const std::string& label) const;
  // True if this incarnation was to leave, so that its absence or end is no crash.
  bool was_to_leave(std::int64_t incarnation) const {
    return incarnation != 0 && (incarnation == this->drained_incarnation ||
                                (incarnation == this->entry.incarnation && this->entry.draining));
  }
};

struct runner_table_options {
  // Consecutive failed runs, of any jobs, after which a runner is quarantined.
  std::int32_t failures_to_quarantine = 3;
  millis quarantine_time{8'000};
  // A run is overdue after this many times its expected duration, unless it gets on: then it is
  // long. A runner counts as stalled if it has at least overdue_runs overdue runs and no more
  // other runs than overdue ones.
  std::int64_t overdue_factor = 3;
  std::int32_t overdue_runs = 2;
  millis stalled_quarantine_time{1'000};
  // Between two looks for stalled runners. Well under stalled_quarantine_time, so that the
  // quarantine of a runner that remains stalled does not lapse in between.
  millis stalled_check_interval{250};
};

// All runners and the runs that may be on them. Capacity is allocated when a start is
// decided and released only when the run is known to have ended, so a runner is never
// allocated beyond its capacity, whatever happens to the commands in between. A run that a
// runner reports unexpectedly is added as well, until its end is known.
class runner_table {
 public:
  // `numbers` may be shared with others that number runners.
  explicit runner_table(
      std::shared_ptr<runner_numbers> numbers = std::make_shared<runner_numbers>(),
      const runner_table_options& options = {})
      : options(options), numbers(std::move(numbers)) {}

  // Adds or updates a runner from an entry of the discovery list.
  runner_state& update(const runner_entry& entry);
  // Makes the runner known, although no entry of it has been read yet.
  void expect(const std::string& id) { this->state_of(id); }
  void mark_unlisted(const std::string& id, instant now);
  // It takes no new work, but nothing tells that it has left.
  void mark_unreadable(const std::string& id);
  // The incarnation was draining when it was last listed.
  void mark_drained(const std::string& id, std::int64_t incarnation);
  runner_state* find(const std::string& id);
  void erase(const std::string& id) { this->by_id.erase(id); }
  std::unordered_map<std::string, runner_state>& all() { return this->by_id; }

  // False if the runner has the run already.
  bool add(const std::string& id, const allocation& run);
  // Releases the capacity of the run; false if the runner has no such run.
  bool remove(const std::string& id, const run_key& key);
  // The run is not kept from others any more.
  void acquit(const std::string& id, const run_key& key);
  // The reports of the runner have begun, or have ceased, to show progress of the run.
  void note_progress(const std::string& id, const run_key& run, bool gets_on);
  // True if an untracked run of the task is on some runner, so that starting the task
  // would run it twice.
  bool has_untracked_run(const task_ref& task) const { return this->untracked.contains(task); }
  bool has_untracked_runs() const { return !this->untracked.empty(); }
  // Quarantines the runners whose runs have stalled. Returns the number of runs looked at.
  std::int64_t quarantine_stalled(instant now);
  // The same, unless the last look for stalled runners was less than stalled_check_interval ago.
  std::int64_t check_stalled(instant now);
  // Counts consecutive failed runs, to detect and quarantine a runner on which every run
  // fails.
  void record_run_outcome(const std::string& id, bool failed, instant now);
  // Returns the quarantines that have begun or ended since the last call; an end is found by
  // quarantine_stalled().
  std::vector<quarantine_change> take_quarantine_changes() {
    return std::exchange(this->quarantine_changes, {});
  }

 private:
  // Returns the state of the runner, a new one if it has none.
  runner_state& state_of(const std::string& id);
  // Extends the runner's quarantine; notes `change`, its begin, if it is in none yet.
  void quarantine(runner_state& state, instant now, instant until, quarantine_change change);
  void note_quarantine_end(const std::string& id, runner_state& state, instant now);

  const runner_table_options options;
  const std::shared_ptr<runner_numbers> numbers;
  // Adds (1) or subtracts (-1) the run in the sums of its runner.
  static void count(runner_state& state, const allocation& run, std::int32_t sign);

  std::unordered_map<std::string, runner_state> by_id;
  instant stalled_checked{0};                  // When check_stalled() last looked.
  std::map<task_ref, std::int32_t> untracked;  // Number of untracked runs, by task.
  std::vector<quarantine_change> quarantine_changes;
};

}  // namespace monsoonmux::cell
