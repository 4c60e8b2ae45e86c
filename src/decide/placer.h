#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "decide/cell_state.h"
#include "decide/room_outlook.h"
#include "decide/urgency.h"

namespace monsoonmux::cell {

// A decided start of a task. Its capacity is allocated; the start command may be sent
// once the decision is in the log.
struct placement {
  task_ref task;
  std::int32_t run = 0;
  std::string runner;
  std::int64_t runner_incarnation = 0;
  std::string ticket;
  std::string checkpoint;
};

// A run that is to be stopped because more urgent work can use its capacity at once.
struct preemption {
  std::string runner;
  run_key run;
  step_ref in_favour_of;
};

// An advice query that takes longer than this is a long one. Short and long ones do not take each
// other's share of the advice service.
constexpr millis long_query_time{150};

// A query to the advice service about the given runners on behalf of a step.
struct advice_query {
  step_ref step;
  advice_config terms;
  std::vector<std::string> runners;
  pool_id pool;
  // The step has waited too long for its query, which goes before all others and may be sent to
  // any free daemon.
  bool out_of_turn = false;
  // A task of the step fits on one of the runners now.
  bool has_room_now = false;
};

// What became of the advice query of a step that found no runner in a round.
enum class query_state {
  not_needed,   // Its queue needs no advice.
  planned,      // The round has one.
  no_room,      // No runner will have room for it that is not counted on by more urgent steps.
  has_tickets,  // It waits for room on runners for which it has tickets.
  pending,      // One is under way.
  put_back,     // The last one had no answer, so the next one waits a little.
  no_runner,    // There is no runner to query about.
  window_full,  // More urgent steps take the advice window.
  round_full,   // The round has as many as the daemons can handle.
};
constexpr std::size_t query_states = 9;
std::string_view to_string(query_state state);

// The steps of a pool that found no runner in a round, by what became of their queries.
using query_tally = std::array<std::int64_t, query_states>;

// Why a step found no runner: for each reason, the number of runners of its pool that
// were excluded for it. A runner counts only for the first reason that applies.
struct waiting_reason {
  step_ref step;
  std::size_t tasks = 0;
  bool given_up = false;
  std::int32_t takes_no_work = 0;
  std::int32_t claimed = 0;        // Reserved for another step.
  std::int32_t no_room = 0;        // Not enough free capacity.
  std::int32_t not_permitted = 0;  // By its labels or the runs that it has.
  std::int32_t not_asked = 0;      // No query of the step has named it yet.
  std::int32_t not_good = 0;       // According to the advice service.
  std::int32_t no_ticket = 0;
  std::int64_t queries = 0;  // Advice queries of the step so far.
  millis query_wait{0};      // How long it has wanted one that was not sent.
  query_state query = query_state::not_needed;
  // Of lasting tasks that have had a run: since when the first of them waits; else `never`.
  instant interrupted_since = never;
};

// What a round costs: how many runners it has looked at, by what for.
struct planning_work {
  std::int64_t steps = 0;      // Steps that have tasks to place, or will have soon.
  std::int64_t handled = 0;    // Of these, those that it has tried to place or queried for.
  std::int64_t placing = 0;    // To find one for a task.
  std::int64_t reserving = 0;  // To find one for a reservation.
  std::int64_t querying = 0;   // To find one that an advice query names.

  planning_work& operator+=(const planning_work& other);
};

struct plan {
  std::vector<placement> placements;
  std::vector<preemption> preemptions;
  std::vector<advice_query> advice_queries;
  // Number of steps whose advice query was deferred by the bounds on queries per round.
  std::int64_t deferred_queries = 0;
  millis longest_query_wait{0};  // Of the steps that want a query now.
  std::int64_t waiting_tasks = 0;
  planning_work work;
  // Of the first blocked steps of each pool and the first with interrupted lasting tasks.
  std::vector<waiting_reason> reasons;
  std::map<std::string, query_tally> queries_by_pool;
};

struct placer_options {
  // Maximum number of runners in an advice query that includes runners without free
  // capacity for the step, as happens when the cell is too full for all of its tasks.
  std::size_t runners_per_query = 30;
  // The same for a query in which all runners have free capacity for the step now.
  std::size_t free_runners_per_query = 90;
  // A step looks for this many times the starts that it needs, since other steps take
  // some of the free capacity before the answer arrives.
  double spare_factor = 2;
  // A query names at least this many runners, if so many have free capacity, even where
  // fewer would do: a further query costs much more than a further runner in one.
  std::size_t min_runners_per_query = 24;
  // Only the most urgent waiting steps of a pool query the advice service, in the order of
  // urgency among those of long and among those of short queries: those whose queries together take
  // at most this long for each advising daemon; steps that hold tickets already count as well. The
  // tickets of less urgent steps would expire before they are used. Steps that no query can help do
  // not count.
  millis advice_window{500};
  // A step that has wanted a query for so long sends it out of turn, those that have waited
  // longest first, if one of its tasks can start at once with a ticket. At any time at most this
  // share of the daemons, and one for each pool at least, is at work on such queries, so that each
  // step gets its turn and the urgent ones keep most of the service.
  millis max_query_wait{1'000};
  double out_of_turn_share = 0.25;
  // Maximum number of steps that a round considers for a query out of turn.
  std::size_t max_considered_out_of_turn = 16;
  // A step that has no runner to query about tries again after this; one without any ticket,
  // which no runner of its pool can serve now, after `helpless_retry_delay`.
  millis query_retry_delay{40};
  millis helpless_retry_delay{250};
  // Maximum number of blocked steps of one pool for which a round reports the reasons.
  std::size_t max_explained_steps = 2;
  // The same for steps with interrupted lasting tasks, of all pools.
  std::size_t max_explained_interrupted_steps = 4;
  // Maximum number of long and of short queries of one pool in one round for each advising daemon.
  // It is as many as the daemons can handle, since on a slow host the next round may come much
  // later.
  std::size_t queries_per_daemon = 2;
  // After this many steps of one pool found no runner, a round skips the less urgent ones.
  // This bounds the cost of a round in an overloaded cell. Of those that it would skip it still
  // tries some, in turn, until so many more found no runner.
  std::size_t max_blocked_steps = 400;
  std::size_t blocked_steps_in_turn = 40;
  // Maximum number of steps of one pool, gangs or steps of large tasks, that reserve
  // runners at the same time.
  std::size_t max_reserving_steps = 2;
  // In a large pool the maximum is one step per this many runners, if that is more.
  std::size_t runners_per_reservation = 16;
  // A task is large if it needs at least this share of the largest runner of its pool.
  // Without a reservation it would starve beside a stream of small tasks, which take all
  // capacity that becomes free.
  double large_task_share = 0.25;
  // A lasting step that has waited for so long may start on runners that others have reserved.
  millis max_hold{2'000};
  // Usual time from the command to stop a run until its capacity is free.
  millis stop_time{400};
  // A preempted run waits up to this long for its next start, so only runs with this
  // much slack are preempted.
  millis max_preempted_wait{8'000};
  // Runs are preempted only if the reserving step is expected to be able to start within
  // this time.
  millis preempt_within{600};
  // The advice query for a step is sent this long before the step is ready.
  millis query_ahead{700};
  // For tasks whose runs are about to be given up it is sent as long before as so many usual
  // queries take, if that is more: one that waits for a free daemon, one without a result and
  // one more. It is never sent so early that its tickets would have to be renewed before.
  std::int64_t queries_ahead = 3;
  // An answer may be used so much later than the query was expected to take.
  millis answer_delay{200};
  // A ticket is used only if it stays valid for this long, the time that a start command
  // may take to reach its runner.
  millis ticket_margin{150};
};

// Plans a scheduling round: decides which waiting tasks start on which runners.
//
// Steps are handled in the order of urgency. Each task is placed on the best-scored
// runner that has the free capacity and is allowed to run it; a gang gets all its runners
// or none. No runner is ever allocated beyond its capacity and no team beyond its quota.
//
// Meant for a full cell of hundreds of runners: a round costs (waiting steps) x (runners
// with a ticket for the step), and the rest of a pool is skipped after max_blocked_steps
// steps that found no runner.
class placer {
 public:
  placer(cell_state& state, const placer_options& options = {});

  plan decide(instant now, std::int64_t wall_ms);

 private:
  struct pool_round;
  struct waiting_step {
    urgency order;
    step_ref ref;
    live_job* job = nullptr;
    const step_spec* shape = nullptr;
    const queue_config* queue = nullptr;
    pool_id pool;
    pool_round* round = nullptr;
    advice_cache::step_advice* advice = nullptr;  // Null: the queue needs no advice.
    std::vector<std::int32_t> tasks;              // Indices of the waiting tasks.
    instant interrupted_since = never;            // See waiting_reason.
    // Number of other tasks that will wait soon; only advice queries take them into account.
    std::size_t soon_waiting = 0;
    isolation kept = isolation::none;  // Of these tasks.
    bool query_only = false;  // No task can be placed yet; the step only queries for advice.
    // It may reserve runners, and knows too few that are good. So it asks about those without room.
    bool lacks_runners_to_reserve = false;
    // Runners that the step may start on if they have the free capacity. If the queue
    // needs advice, these are the few of the pool with a valid ticket for the step.
    std::vector<runner_state*> candidates;
  };
  struct choice {
    runner_state* runner = nullptr;
    double score = 0;
  };

  // Capacity for some of the step's tasks on one runner.
  struct share {
    runner_state* runner = nullptr;
    resources need;
    instant fits_at;            // When the runner is expected to have `need` free.
    bool was_reserved = false;  // By the step, in the last round.
  };

  // A step that is ready, or will be soon, as far as its place in the order needs it.
  struct candidate_step {
    urgency order;
    live_job* job = nullptr;
    const queue_config* queue = nullptr;
    pool_round* round = nullptr;
    const live_occurrence* in = nullptr;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    bool query_only = false;

    step_ref ref() const;
    auto place() const {
      return std::tie(this->job->submission().job, this->occurrence, this->step);
    }
  };

  // State of one pool in the current round.
  struct pool_round {
    std::vector<runner_state*> runners;
    struct advice_use {
      std::size_t queries = 0;  // Queries planned.
      double time_ms = 0;       // Duration of the queries of all steps so far.
    };
    advice_use short_queries;
    advice_use long_queries;
    std::size_t pending_out_of_turn = 0;     // Queries that were sent out of turn.
    std::size_t reserving_steps = 0;         // Steps that have reserved runners.
    std::size_t isolating_steps = 0;         // The same, of tasks that are to be alone.
    std::size_t interrupted_reserving = 0;   // The same, of interrupted lasting tasks.
    std::size_t blocked = 0;                 // Steps that found no runner.
    std::size_t max_blocked = 0;             // The others are skipped.
    std::vector<candidate_step> candidates;  // A heap, the most urgent one first.
    std::vector<waiting_step*> skipped;
    query_tally queries_of_blocked{};
    std::size_t learning_steps = 0;         // Those of waiting_step::lacks_runners_to_reserve.
    std::unique_ptr<room_outlook> outlook;  // See outlook_of().
    resources largest;                      // Componentwise maximum of the runners' capacities.
    // A runner with its free accelerators and processor time, in this order.
    struct room {
      runner_state* runner = nullptr;
      std::pair<devices, millicores> free_capacity;
    };
    std::vector<room> by_room;  // See runners_by_room().
  };

  // A queue of the configuration, null if it is not there any more, and the round of its pool.
  struct queue_round {
    const queue_config* queue = nullptr;
    pool_round* round = nullptr;
  };
  static bool comes_later(const candidate_step& a, const candidate_step& b);
  static bool comes_first(const waiting_step& a, const waiting_step& b);
  // Finds the steps that are ready and those that will be soon. Returns the number of their tasks
  // that wait.
  std::int64_t collect(instant now, std::int64_t wall_ms);
  // The queue of the job and the round of its pool.
  const queue_round& queue_of(const live_job& job);
  std::int64_t collect_step(live_job& job, std::int32_t number, live_occurrence& occurrence,
                            std::int32_t step, urgency_evaluator& evaluator, instant now);
  // Appends the step, in parts if split() makes several of it.
  void expand(const candidate_step& from, std::vector<waiting_step>& out);
  // The same of a step whose tasks need none; null if none of its tasks may start.
  waiting_step* expand_one(const candidate_step& from);
  // Returns the most urgent step that was not returned before; null if there is none, or if enough
  // steps of all pools found no runner.
  waiting_step* next_step();
  bool special_comes_before(const candidate_step& other) const;
  void handle_step(waiting_step& step, instant now, plan& out);
  // See waiting_reason. `tasks`: indices of those that wait.
  static instant interrupted_since(const step_spec& shape, const live_step& step,
                                   const std::vector<std::int32_t>& tasks);
  // Returns the step's tasks that wait and may start.
  std::vector<std::int32_t> tasks_to_place(const step_ref& ref, const live_step& step) const;
  bool soon_ready(const live_job& job, const live_occurrence& occurrence, std::int32_t step,
                  instant now) const;
  // Counts the tasks, by step, whose runs will be given up while advice that is asked for now is
  // still valid.
  void count_ending_runs(instant now);
  // True if the run, which is given up after `left`, is its task's current one and advice for the
  // task is due.
  bool ends_soon(const run_key& run, millis left);
  // How long before runs are given up the advice query for their tasks is sent.
  millis ahead_of_end(const advice_config& terms) const;
  // A ticket is renewed when it is valid for no longer than this.
  millis time_to_renew(const advice_config& terms) const;
  // Sets which placed tasks of the step count in advice queries and whether it only queries;
  // false if it does neither that nor place any task.
  bool add_ending_tasks(waiting_step& waiting, const live_step& step, bool is_gang) const;
  // True if the task lasts and waits after a run.
  static bool is_interrupted(const step_spec& shape, const live_task& task);
  // Appends the step once for each degree of isolation that some of its tasks need, those that were
  // interrupted apart from the others.
  static void split(waiting_step step, const live_step& tasks, std::vector<waiting_step>& out);
  // Returns the runners of the pool on which the step may start, as far as the advice service was
  // asked; all of them if it needs no advice.
  std::vector<runner_state*> good_runners(const waiting_step& step);
  // Null if the runner is not of the step's pool any more.
  runner_state* runner_of(const advice_cache::known_runner& known, const waiting_step& step) const;
  // True if some runners of the pool hold no run that lasts, so that the step's tasks can be
  // alone there in time.
  bool can_be_alone(const waiting_step& step);
  // True if neither the step's tasks nor the runs on the runner have to be kept from the other.
  static bool may_share(const waiting_step& step, const runner_state& runner);
  void place_step(waiting_step& step, instant now, plan& out);
  // Tries some of the steps that the pools' rounds have skipped, other ones in each round.
  void place_skipped_steps(instant now, plan& out);
  // The same of one pool, for those that were in `special` and for its candidates.
  void place_skipped_special(const std::string& pool, pool_round& round, instant now, plan& out);
  void place_skipped_candidates(const std::string& pool, pool_round& round, instant now, plan& out);
  // Places tasks of the step and removes them from it. Returns false if the step waits
  // for capacity or tickets, true if all tasks are placed or the step waits for its
  // team's quota.
  bool place_tasks(waiting_step& step, instant now, plan& out);
  bool place_gang(const waiting_step& step, instant now, plan& out);
  bool may_reserve(const waiting_step& step);
  // The number of steps of the pool that have reserved runners, of those that share its bound.
  static std::size_t& reserving_steps_like(const waiting_step& step);
  // The most steps of the pool that reserve at the same time; those of isolated and of interrupted
  // lasting tasks have bounds of their own.
  std::size_t most_reserving_steps(const pool_round& round) const;
  // True if the step, which found no runners to reserve, may ask about those without room.
  bool may_learn_runners(const waiting_step& step) const;
  // Returns false if it knows too few good runners.
  bool reserve_runners(const waiting_step& step, instant now, plan& out);
  void reserve_runner(const share& part, const waiting_step& step, instant free_at, instant now,
                      plan& out);
  // Returns the runners that the step reserved in the last round, if they can still be
  // used; otherwise those that will have the free capacity first. A gang gets all that it
  // needs or none.
  std::vector<share> shares_to_reserve(const waiting_step& step, instant now);
  std::vector<share> empty_runners_to_reserve(const waiting_step& step,
                                              const std::vector<runner_state*>& usable,
                                              instant now) const;
  std::vector<share> earliest_shares(std::vector<share> candidates, const waiting_step& step) const;
  // True if the run may be stopped in favour of the step: its progress is kept, and its
  // job can still meet its objective.
  bool is_preemptible(const allocation& run, const waiting_step& step) const;
  // What is assumed of runs that are late already.
  enum class overdue_runs : std::uint8_t { may_end_now, take_longer };
  // When the runner is expected to have `need` free if preemptible runs are stopped;
  // `never` if the runner is too small or runs without an expected end occupy it.
  instant fits_at(const runner_state& runner, const resources& need, const waiting_step& step,
                  instant now, overdue_runs overdue) const;
  void preempt(const share& part, const waiting_step& step, instant now, plan& out);
  // Number of the step's tasks that fit on the runner while that is empty.
  std::size_t members_that_fit(const waiting_step& step, const runner_state& runner) const;
  // True if the runner is reserved for another step that would have to wait for this one.
  bool blocked_by_reservation(const waiting_step& step, const runner_state& runner,
                              instant now) const;
  // A runner that may be named in an advice query.
  struct query_candidate {
    runner_state* runner = nullptr;
    double starts = 0;          // Expected number of tasks of the step that can start on it now.
    std::size_t tie_break = 0;  // Order among runners with free capacity; varies by step.
  };
  // Adds a query for the step, if it needs one and it is its turn.
  query_state query_advice(const waiting_step& step, instant now, plan& out);
  // A step that has waited too long for a query. `deferred`: null if the plan has the query.
  struct overdue_step {
    instant since;
    step_ref ref;
    const waiting_step* deferred = nullptr;
  };
  using overdue_by_pool = std::map<std::string, std::vector<overdue_step>>;
  // Returns them, those that have waited longest first.
  overdue_by_pool overdue_steps(instant now, plan& out);
  // Those that can be used at once come first, in the order of urgency.
  static void order_queries(plan& out);
  // Adds queries for steps that have waited too long for theirs.
  void query_out_of_turn(instant now, plan& out);
  // Adds a query for the step, if there is a runner to query about. `only_with_room`: and one on
  // which a task of the step can start now.
  query_state add_query(const waiting_step& step, bool only_with_room, instant now, plan& out);
  // Adds a query for the step, which can use its answer, if it is its turn.
  query_state send_query(const waiting_step& step, instant now, plan& out);
  // What will be free in the pool of the step.
  room_outlook& outlook_of(const waiting_step& step, instant now);
  // How long an answer to a query that the step sends now can be used.
  instant answer_usable_until(const waiting_step& step, instant now) const;
  // True if the step asks about runners whatever room they will have.
  static bool asks_without_room(const waiting_step& step) {
    return step.kept != isolation::none || step.lacks_runners_to_reserve || step.soon_waiting > 0;
  }
  // True if the runner will have room for a task of the step while an answer can be used.
  bool will_have_room(const waiting_step& step, const runner_state& runner, instant now);
  // Room that some of a step's tasks can count on.
  struct expected_room {
    std::size_t runner = 0;  // The index in the pool's round.
    std::size_t tasks = 0;
  };
  struct room_search {
    std::size_t wanted = 0;  // Tasks.
    std::size_t found = 0;   // Of these, those that have room.
    std::vector<expected_room> room;
  };
  // Returns room for so many of the step's tasks while an answer can be used, on runners that are
  // not known to be no good. Of a gang for all or none.
  std::vector<expected_room> find_room(const waiting_step& step, std::size_t wanted, instant now);
  // The same for all of them or none, on runners for which it has tickets.
  std::vector<expected_room> find_ticket_room(const waiting_step& step, instant now);
  // The same on the runners that its query names.
  std::vector<expected_room> room_on(const waiting_step& step,
                                     const std::vector<query_candidate>& named, instant now);
  void add_room(const waiting_step& step, std::size_t index, instant now, room_search& search);
  // Less urgent steps do not count on the room that this one may use.
  void take_all_room(const waiting_step& step, instant now);
  // The same for this room.
  void take_room(const waiting_step& step, const std::vector<expected_room>& room, instant now);
  // Counts the step in its pool's advice window if it uses the service.
  void take_from_window(const waiting_step& step);
  // How long a query for the step usually takes, in ms.
  double usual_query_ms(const waiting_step& step) const;
  // What the step's pool has used of the advice service for queries like the step's.
  pool_round::advice_use& advice_use_for(const waiting_step& step);
  // True if the step may start on the runner once the runs there that end by themselves are over.
  bool may_ever_start(const waiting_step& step, const runner_state& runner) const;

  void find_candidates(waiting_step& step, instant now);
  // The runners that a query names so far.
  struct query_choice {
    std::vector<query_candidate> runners;
    double starts = 0;  // Starts that the step can expect with them and with its tickets.
    double needed = 0;  // Starts that it looks for.
  };
  bool may_query_about(const waiting_step& step, const runner_state& runner, instant now) const;
  double starts_now(const waiting_step& step, const runner_state& runner, instant now) const;
  static const std::vector<pool_round::room>& runners_by_room(pool_round& round);
  std::vector<query_candidate> good_candidates(const waiting_step& step, instant now,
                                               query_choice& choice);
  bool add_to_query(query_choice& choice, const query_candidate& candidate) const;
  void add_unasked_with_room(const waiting_step& step, instant now, query_choice& choice);
  bool add_unasked_without_room(const waiting_step& step, instant now, query_choice& choice);
  static bool precedes_in_query(const query_candidate& a, const query_candidate& b);
  std::vector<query_candidate> runners_to_query(const waiting_step& step, instant now);
  static std::size_t tasks_to_query_for(const waiting_step& step);
  // Number of the step's tasks that may be on one runner, whatever its capacity.
  static std::size_t most_on_runner(const waiting_step& step);
  double starts_needed(const waiting_step& step) const;
  double starts_that_fit(const waiting_step& step, const runner_state& runner) const;
  waiting_reason explain(const waiting_step& step, instant now);
  // True for the first blocked steps of a pool, and the first with interrupted lasting tasks.
  bool is_to_explain(const waiting_step& step);
  bool permitted(const waiting_step& step, const runner_state& runner) const;
  // True if a task of the step can start on the runner, a candidate, now.
  bool may_take(const waiting_step& step, const runner_state& runner, instant now) const;
  choice best_runner(const waiting_step& step, const live_task& task, instant now,
                     const std::string& only_rack);
  double score(const waiting_step& step, const live_task& task, const runner_state& runner) const;
  millis expected_time(const waiting_step& step) const;
  void allocate(const waiting_step& step, std::int32_t index, std::int32_t run,
                const runner_state& runner, instant now);
  void release(const waiting_step& step, std::int32_t index, std::int32_t run,
               const runner_state& runner);
  // Marks the task as placed.
  placement record(const waiting_step& step, std::int32_t index, std::int32_t run,
                   const runner_state& runner, instant now);

  cell_state& state;
  const placer_options options;
  std::unordered_map<std::string, pool_round> pools;
  // The runners by their numbers, in the current round; null: unknown or lost.
  struct numbered_runner {
    runner_state* runner = nullptr;
    const pool_round* pool = nullptr;
    std::size_t index = 0;  // Among the runners of the pool's round.
  };
  std::vector<numbered_runner> by_number;
  // In the current round: the steps that it handles, and of these the ones that are not in a pool's
  // candidates, the most urgent last: that only query, or of which tasks are isolated or will wait
  // soon.
  std::deque<waiting_step> steps;
  std::unordered_map<queue_id, queue_round> queues;
  std::vector<waiting_step*> special;
  // In the current round: steps whose query was deferred, those with a query in the plan, and
  // those that count in the advice window.
  std::vector<const waiting_step*> deferred;
  std::set<step_ref> queried;
  std::set<step_ref> in_window;
  // By pool, the last steps that place_skipped_steps() has tried: of the candidates, and of those
  // in `special`.
  std::map<std::string, step_ref> last_tried;
  std::map<std::string, step_ref> last_special_tried;
  planning_work work;               // Of the current round.
  std::int64_t sendable_bytes = 0;  // Of cell_state::sendable_bytes, what is left of it.
  std::map<step_ref, std::size_t> ending_runs;  // See count_ending_runs().
  struct reservation {
    step_ref by;
    isolation kept = isolation::none;
    urgency_class kind = urgency_class::usual;
    std::int32_t priority = 0;
    instant free_at;  // When the step that reserved the runner can expect to start there.
  };
  std::unordered_map<const runner_state*, reservation> reservations;
  // Runners that steps reserved in the last round. A reservation that moved from runner
  // to runner would never see any of them become empty.
  std::map<step_ref, std::vector<runner_number>> previous_reservations;
  std::map<step_ref, std::vector<runner_number>> new_reservations;
  // Since when lasting steps have found no runner, as of the last round.
  std::map<step_ref, instant> held_since;
  std::map<step_ref, instant> still_held;  // The same, of the current round.
  std::size_t explained_interrupted = 0;   // Steps with interrupted lasting tasks, in this round.
};

}  // namespace monsoonmux::cell
