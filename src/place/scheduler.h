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

// Limits and patience of the scheduler.
struct scheduler_options {
  std::size_t max_starts = 256;            // Units started per round; bounds its time.
  std::size_t max_reservations = 64;       // Blocked units that hold claims at once.
  std::size_t max_blocked_per_shape = 16;  // Blocked units of one shape looked at per round.
  millis reclaim_delay{5'000};             // Wait of normal work before lent work stops.
  millis reservation_delay{10'000};        // Wait before a unit that fits nowhere claims.
  millis reservation_lifetime{60'000};     // After a claim is ready.
};

// Decides what starts where and what stops, for one failure domain.
//
// The caller tells it of workers, teams, waiting units and ends of tasks, and
// calls decide() often. It does no input or output and reads no clock, so that
// tests can drive it through any schedule. Not thread-safe; the domain's shard
// lock covers it.
//
//   scheduler s(options);
//   s.add_worker({worker_id("w1"), pool_id("p"), rack_id("r"), total});
//   s.set_team(team_id("t"), 1, allowance);
//   s.submit(unit);
//   for (const unit_start& start : s.decide(now).starts) { send(start); }
//
// Promises: the sum of reservations on a worker never exceeds its total through
// decide(); no team's reservations exceed its allowance through decide(); the
// tasks of a unit start in one round or not at all; a unit that does not fit
// never delays another team's unit that does, except on capacity that it claims.
class scheduler {
 public:
  explicit scheduler(scheduler_options options);

  void add_worker(const worker_info& info);
  // An unusable worker keeps its tasks but gets no new ones.
  void set_usable(const worker_id& worker, bool usable);

  // Sets the share and the allowance. A team without terms starts nothing.
  void set_team(const team_id& team, std::int64_t share, const resources& allowance);

  void submit(const std::shared_ptr<const pending_unit>& unit);
  // Puts a unit that lost its place back before others of its shape.
  void resubmit(const std::shared_ptr<const pending_unit>& unit);
  // Removes the job's waiting units.
  void withdraw(const job_id& job);
  // The same, and returns its tasks that hold resources.
  std::vector<task_stop> cancel(const job_id& job, stop_reason reason);

  // Books a task that already runs, found after a takeover.
  void adopt(const task_id& task, std::shared_ptr<const pending_unit> unit, const worker_id& worker,
             instant started);
  // Frees what the task holds. No effect if it holds nothing.
  void finish(const task_id& task);
  // Takes note of a checkpoint, which makes the task cheaper to stop.
  void checkpointed(const task_id& task, instant at);
  // Books a larger use than declared. Returns false if the worker cannot give
  // it, in which case the task has to stop.
  bool grow(const task_id& task, const resources& observed);

  plan decide(instant now);

  bool fits_empty(const pending_unit& unit);
  const worker_table& workers() const { return this->table; }
  const team_table& teams() const { return this->team_accounts; }
  const running_set& running() const { return this->tasks; }
  const reservation_table& reservations() const { return this->reserved; }
  std::size_t waiting() const;
  // What the team may still start here.
  resources headroom(const team_id& team) const;

 private:
  using unit_ptr = std::shared_ptr<const pending_unit>;
  // A team in one round, with the shapes that have not yet failed to fit.
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
  bool fits_reservation(const reservation& held) const;
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
