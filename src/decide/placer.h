#pragma once

#include <map>
#include <string>
#include <vector>

#include "decide/cell_state.h"
#include "decide/urgency.h"

namespace monsoonmux::cell {

// A start that was decided. The room is taken; the order may be sent once the
// decision is in the log.
struct placement {
  task_ref task;
  std::int32_t run = 0;
  std::string runner;
  std::int64_t runner_incarnation = 0;
  std::string ticket;
  std::string checkpoint;
};

// A run that is to stop, since more urgent work can have its room at once.
struct preemption {
  std::string runner;
  run_key run;
  step_ref in_favour_of;
};

// Runners that a step wants the advice service to be asked about.
struct advice_query {
  step_ref step;
  advice_config terms;
  std::vector<std::string> runners;
};

// Why a step found no runner: how many runners of its service fell out for which
// reason, the first that applied.
struct waiting_reason {
  step_ref step;
  std::size_t tasks = 0;
  bool given_up = false;
  std::int32_t takes_no_work = 0;
  std::int32_t claimed = 0;
  std::int32_t no_room = 0;
  std::int32_t not_permitted = 0;
  std::int32_t not_good = 0;  // By the advice service.
  std::int32_t no_ticket = 0;
};

struct plan {
  std::vector<placement> placements;
  std::vector<preemption> preemptions;
  std::vector<advice_query> advice_queries;
  // Steps that would have asked for advice, but for the bound on what a round asks.
  std::int64_t deferred_queries = 0;
  std::int64_t waiting_tasks = 0;
  std::vector<waiting_reason> reasons;  // Of the first blocked steps of each service.
};

struct placer_options {
  // Runners that one question to the advice service names at most, if the cell is so
  // full that the step cannot start on as many as it needs.
  std::size_t runners_per_query = 30;
  // The same if all of them have room for it now.
  std::size_t free_runners_per_query = 90;
  // So many more good runners with room are looked for than the step needs; other steps
  // take some of the room meanwhile.
  double spare_factor = 2;
  // A question names so many runners with room, if there are, also where fewer would
  // do: another question costs much more than another runner.
  std::size_t min_runners_per_query = 24;
  // The most urgent waiting steps of a service hold or get tickets, as many as
  // questions of this much work for each daemon that asks are for; the others would
  // only see theirs expire.
  millis advice_window{500};
  // A step that has nothing to ask looks again after this.
  millis query_retry_delay{40};
  // Blocked steps of one service whose reasons a round tells.
  std::size_t max_explained_steps = 2;
  // Questions of one service in one round, for each daemon that asks: as many as the
  // daemons can take, since the next round may be long after on a slow host.
  std::size_t queries_per_daemon = 2;
  // After so many steps of one service that found no runner, a round leaves the
  // less urgent ones alone; bounds what a round costs in an overloaded cell.
  std::size_t max_blocked_steps = 400;
  // Gangs and steps of large tasks, of one service, that hold runners back.
  std::size_t max_reserving_steps = 2;
  // One more for each so many runners, where that is more.
  std::size_t runners_per_reservation = 16;
  // A task is large if it needs this part of its service's largest runner: it would
  // wait for ever beside a stream of small ones that take whatever gets free.
  double large_task_share = 0.25;
  // From the order to stop a run until its room is free, usually.
  millis stop_time{400};
  // A run that was stopped for a gang waits up to this long for its next start.
  millis max_preempted_wait{8'000};
  // Runs are stopped for a gang only if it can start this soon after.
  millis preempt_within{600};
  // A step whose tickets are wanted is asked about this long before it is ready.
  millis query_ahead{700};
  // Time for a start to reach its runner while its ticket is still valid.
  millis ticket_margin{150};
};

// Decides which waiting tasks start where, in one round.
//
// Steps go in the order of urgency. A task takes a runner that has room for it, is
// allowed to run it, and suits it best; a gang takes all its runners or none.
// Nothing is ever placed beyond a runner's capacity or a tenant's limit.
//
// It answers the load of a full cell of hundreds of runners: a round costs (waiting
// steps) x (runners with a ticket for the step), and a service without room is skipped.
class placer {
 public:
  placer(cell_state& state, const placer_options& options = {});

  plan decide(instant now, std::int64_t wall_ms);

 private:
  struct waiting_step {
    urgency order;
    step_ref ref;
    live_job* job = nullptr;
    const step_spec* shape = nullptr;
    const queue_config* queue = nullptr;
    pool_id pool;
    advice_cache::step_advice* advice = nullptr;  // Null: the queue needs none.
    std::vector<std::int32_t> tasks;
    bool query_only = false;  // Not ready yet; only asks for advice.
    // Runners that it may start on if they have room: with advice, those whose tickets
    // are valid, a few of the service's many.
    std::vector<runner_state*> candidates;
  };
  struct choice {
    runner_state* runner = nullptr;
    double score = 0;
  };

  // Room for some of the step's tasks on one runner.
  struct share {
    runner_state* runner = nullptr;
    resources need;
    instant fits_at;  // When the runner is expected to have it.
  };

  std::vector<waiting_step> collect(instant now, std::int64_t wall_ms);
  bool soon_ready(const live_job& job, const live_occurrence& occurrence, std::int32_t step,
                  instant now) const;
  void place_step(waiting_step& step, instant now, plan& out);
  // True if the step only waits for room or tickets, not for its tenant's limit.
  // Takes the tasks that it places out of the step.
  bool place_tasks(waiting_step& step, instant now, plan& out);
  bool place_gang(const waiting_step& step, instant now, plan& out);
  bool may_reserve(const waiting_step& step);
  void reserve_runners(const waiting_step& step, instant now, plan& out);
  void reserve_runner(const share& part, const waiting_step& step, instant free_at, instant now,
                      plan& out);
  // The runners that the step claimed in the last round, if they still serve;
  // otherwise those that will have room for it first. For a gang all that it needs,
  // or none.
  std::vector<share> shares_to_reserve(const waiting_step& step, instant now);
  std::vector<share> earliest_shares(std::vector<share> candidates, const waiting_step& step) const;
  // True if the run may be stopped in favour of the step: it loses nothing by it, and
  // its job can still be in time.
  bool is_preemptible(const allocation& run, const waiting_step& step) const;
  // When the runner will have `need` free, runs that give way stopped; never if the
  // runner is too small.
  instant fits_at(const runner_state& runner, const resources& need, const waiting_step& step,
                  instant now) const;
  void preempt(const share& part, const waiting_step& step, instant now, plan& out);
  std::size_t members_that_fit(const waiting_step& step, const runner_state& runner) const;
  bool blocked_by_reservation(const waiting_step& step, const runner_state& runner,
                              instant now) const;
  void query_advice(const waiting_step& step, instant now, plan& out);
  // A runner that the advice service may be asked about.
  struct query_candidate {
    runner_state* runner = nullptr;
    double starts = 0;  // Of the step that may be expected of it now.
    bool asked = false;
    std::size_t tie_break = 0;  // Where it stands among those with room; other for each step.
  };

  void find_candidates(waiting_step& step, instant now);
  std::vector<query_candidate> query_candidates(const waiting_step& step, instant now,
                                                double& held);
  static bool precedes_in_query(const query_candidate& a, const query_candidate& b);
  std::vector<runner_state*> runners_to_query(const waiting_step& step, instant now);
  double starts_needed(const waiting_step& step) const;
  double starts_that_fit(const waiting_step& step, const runner_state& runner) const;
  waiting_reason explain(const waiting_step& step, instant now);
  bool permitted(const waiting_step& step, const runner_state& runner) const;
  bool may_take(const waiting_step& step, const runner_state& runner, instant now) const;
  choice best_runner(const waiting_step& step, const live_task& task, instant now,
                     const std::string& only_rack);
  double score(const waiting_step& step, const live_task& task, const runner_state& runner) const;
  bool known_good(const waiting_step& step, const runner_state& runner) const;
  millis expected_time(const waiting_step& step) const;
  void allocate(const waiting_step& step, std::int32_t index, std::int32_t run,
                const runner_state& runner, instant now);
  void release(const waiting_step& step, std::int32_t index, std::int32_t run,
               const runner_state& runner);
  placement record(const waiting_step& step, std::int32_t index, std::int32_t run,
                   const runner_state& runner, instant now);

  cell_state& state;
  const placer_options options;
  // Of the round under way.
  struct pool_round {
    std::vector<runner_state*> runners;
    std::size_t asked = 0;
    double advice_ms = 0;  // Work of the questions for the steps seen so far.
    std::size_t reserving_steps = 0;
    std::size_t blocked = 0;
    resources largest;  // Componentwise, of its runners' capacities.
  };
  std::unordered_map<std::string, pool_round> pools;
  struct reservation {
    step_ref by;
    std::int32_t priority = 0;
    instant free_at;  // When the claimant can expect to start there.
  };
  std::unordered_map<std::string, reservation> reservations;
  // Runners that gangs claimed in the last round. A claim that moved from runner to
  // runner would never see any of them empty.
  std::map<step_ref, std::vector<std::string>> previous_reservations;
  std::map<step_ref, std::vector<std::string>> new_reservations;
};

}  // namespace monsoonmux::cell
