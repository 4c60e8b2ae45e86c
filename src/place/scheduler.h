#pragma once

#include <optional>

#include "place/plan.h"
#include "place/reservation_planner.h"
#include "place/reservation_table.h"
#include "place/running_set.h"
#include "place/team_table.h"
#include "place/victim_finder.h"
#include "place/worker_selector.h"
#include "place/worker_table.h"

namespace monsoonmux {

// Limits and delays of the scheduler.
struct scheduler_options {
  std::size_t max_starts = 256;            // Units started per round; bounds its duration.
  std::size_t max_reservations = 64;       // Reservations at one time.
  std::size_t max_blocked_per_shape = 16;  // Blocked units tried per team and shape, per round.
  millis reclaim_delay{5'000};             // Normal work waits this long before it preempts.
  millis reservation_delay{10'000};        // A blocked unit waits this long for a reservation.
  millis reservation_lifetime{60'000};     // Unused reservations expire this long after ready.
};

// Decides which tasks start on which workers and which tasks stop, for one
// failure domain.
//
// The caller reports workers, teams, waiting units and ends of tasks, and calls
// decide() often. The scheduler does no input or output and reads no clock, so
// that tests can drive it through any schedule. Not thread-safe; the lock of the
// domain's shard protects it.
//
//   scheduler s(options);
//   s.add_worker({worker_id("w1"), pool_id("p"), rack_id("r"), total});
//   s.set_team(team_id("t"), 1, allowance);
//   s.submit(unit);
//   for (const unit_start& start : s.decide(now).starts) { send(start); }
//
// Guarantees: decide() never makes the sum of allocations on a worker exceed its
// total, nor a team's allocations exceed its allowance; the tasks of a unit start
// in one round or not at all; a unit that does not fit never delays another team's
// unit that does, except on capacity that is reserved for it.
class scheduler {
 public:
  explicit scheduler(scheduler_options options);

  void add_worker(const worker_info& info);
  // An unusable worker keeps its tasks but is given no new ones.
  void set_usable(const worker_id& worker, bool usable);

  // Sets the share and the allowance. A team for which this was never called
  // starts nothing.
  void set_team(const team_id& team, std::int64_t share, const resources& allowance);

  void submit(const std::shared_ptr<const pending_unit>& unit);
  // Queues a unit that ran before at the head of its shape's queue.
  void resubmit(const std::shared_ptr<const pending_unit>& unit);
  // Removes the job's waiting units.
  void withdraw(const job_id& job);
  // Removes the job's waiting units and returns stops for its tasks that have
  // resources allocated and are not stopping yet.
  std::vector<task_stop> cancel(const job_id& job, stop_reason reason);

  // Accounts for a task that was found already running after a takeover.
  void adopt(const task_id& task, std::shared_ptr<const pending_unit> unit, const worker_id& worker,
             instant started);
  // Releases the task's allocation. No effect if it has none.
  void finish(const task_id& task);
  // Records a checkpoint, which lowers the cost of preempting the task.
  void checkpointed(const task_id& task, instant at);
  // Raises the task's allocation to the observed usage. Returns false if this
  // exceeds the worker's free capacity or the team's allowance; the task then has
  // to be stopped.
  bool grow(const task_id& task, const resources& observed);

  plan decide(instant now);

  bool fits_empty(const pending_unit& unit);
  const worker_table& workers() const { return this->table; }
  const team_table& teams() const { return this->team_accounts; }
  const running_set& running() const { return this->tasks; }
  const reservation_table& reservations() const { return this->reserved; }
  std::size_t waiting() const;
  // The part of the team's allowance that is not in use.
  resources headroom(const team_id& team) const;

 private:
  using unit_ptr = std::shared_ptr<const pending_unit>;
  // A team with waiting work in the present round, with those shapes that have not
  // yet failed to fit.
  struct candidate {
    team_id team;
    team_account* account = nullptr;
    std::vector<pending_queue::shape> shapes;
    double usage_per_share = 0;
    bool urgent = false;
  };

  void start_all(instant now, plan& out);
  std::vector<candidate> candidates() const;
  void rank(candidate& c) const;
  bool start_one(candidate& c, instant now, plan& out);
  bool try_start(const unit_ptr& unit, team_account& account, instant now, plan& out);
  std::optional<std::vector<worker_index>> place(const pending_unit& unit, instant now);
  worker_index choose(const pending_unit& unit, std::int32_t pool, instant end, job_spread& spread);
  job_spread spread_of(const job_id& job) const;
  bool fits_reservation(const reservation& r) const;
  void unblock_units(instant now, plan& out);
  bool unblock(const unit_ptr& unit, const team_account& account, const resources& planned,
               instant now, plan& out);
  bool reclaim(const unit_ptr& unit, instant now, plan& out);
  void reserve_future(const unit_ptr& unit, instant now);
  void preempt_backfilled(instant now, plan& out);
  void stop_over_limit(plan& out);
  void stop_task_or_gang(running_task& task, stop_reason reason, plan& out);
  task_stop mark_stopping(running_task& task, stop_reason reason);

  scheduler_options options;
  worker_table table;
  running_set tasks;
  team_table team_accounts;
  reservation_table reserved;
  worker_selector selector;
  victim_finder victims;
  reservation_planner reservation_finder;
  std::int64_t active_share_sum = 0;
};

}  // namespace monsoonmux
