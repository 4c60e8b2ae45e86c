#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"
#include "decide/task_ref.h"
#include "model/runner_entry.h"

namespace monsoonmux::cell {

// One run that may be on a runner, with the room that it takes there.
struct allocation {
  task_ref task;
  std::int32_t run = 0;
  team_id team;
  resources capacity_used;  // Counted against the runner's capacity.
  resources quota_used;     // Counted against the tenant's limit.
  bool best_effort = false;
  bool latency_sensitive = false;
  instant since;       // When its start was decided, or when its present owner took over.
  millis expected{0};  // Usual duration; 0: it lasts.
  // The usual duration was learned from runs that ended. A declared one is too far
  // off to tell from it that a run stands still.
  bool expected_is_learned = false;
  std::int32_t priority = 0;  // Of its queue; 0 comes first.
  bool resumable = false;     // A stop loses nothing: its progress is saved at the stop.
  millis slack{0};            // It may wait so long in all and still be in time.
  bool stopping = false;      // It was told to stop in favour of more urgent work.
};

// Identity of a run on a runner.
struct run_key {
  task_ref task;
  std::int32_t run = 0;
  auto operator<=>(const run_key&) const = default;
};

// One runner as its owner sees it.
struct runner_state {
  runner_entry entry;
  bool listed = false;    // Its entry is in the discovery list.
  bool admitted = false;  // It has answered under our token; room is known.
  std::map<run_key, allocation> allocations;
  resources used;
  std::int32_t best_effort_runs = 0;        // Residents that fill.
  std::int32_t latency_sensitive_runs = 0;  // Residents that serve.
  std::int32_t consecutive_failures = 0;
  instant quarantined_until{0};  // Takes no new work before.

  resources free_capacity() const { return this->entry.capacity - this->used; }
  bool takes_work(instant now) const {
    return this->listed && this->admitted && !this->entry.draining &&
           this->quarantined_until <= now;
  }
  bool has_label(const std::string& label) const;
};

struct runner_table_options {
  // Failed runs in a row, of any jobs, after which a runner is left alone.
  std::int32_t failures_to_quarantine = 3;
  millis quarantine_time{8'000};
  // A run is overdue at this many times its usual duration. A runner with as many
  // overdue runs, and no more than as many others, stands still.
  std::int64_t overdue_factor = 3;
  std::int32_t overdue_runs = 2;
  millis stalled_quarantine_time{1'000};
};

// All runners and what may run on them. Room is taken when a start is decided and
// given back only when the run is known to be over, so a runner is never booked
// beyond its capacity whatever happens to the orders between.
class runner_table {
 public:
  explicit runner_table(const runner_table_options& options = {}) : options(options) {}

  // Takes a new entry of the discovery list.
  runner_state& update(const runner_entry& entry);
  void mark_unlisted(const std::string& id);
  runner_state* find(const std::string& id);
  void erase(const std::string& id) { this->by_id.erase(id); }
  std::unordered_map<std::string, runner_state>& all() { return this->by_id; }

  void add(const std::string& id, const allocation& run);
  // Gives the room back; false if the run was not there.
  bool remove(const std::string& id, const run_key& key);
  // Leaves runners alone for a while on which the runs stand still.
  void quarantine_stalled(instant now);
  // Notes how a run ended, to tell a runner that fails everything.
  void record_run_outcome(const std::string& id, bool failed, instant now);

 private:
  const runner_table_options options;
  std::unordered_map<std::string, runner_state> by_id;
};

}  // namespace monsoonmux::cell
