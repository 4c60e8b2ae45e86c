#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "base/event.h"
#include "call/call_request.h"
#include "call/leased_slots.h"
#include "call/retry_budget.h"
#include "call/runner_stats.h"
#include "platform/host_list.h"

namespace monsoonmux {

// Upper bound on the time that a runner takes to end a call after its caller disconnected.
constexpr millis abandoned_call_release_delay{2'000};

struct call_dispatcher_options {
  // The first try of an idempotent call times out after the largest of min_first_try_timeout,
  // first_try_latency_factor times the smoothed latency of the runner, and half of the time left
  // until the deadline.
  millis min_first_try_timeout{250};
  int first_try_latency_factor = 6;
  // A runner may continue to execute a call that this daemon abandoned, so the slot of the call is
  // released only after this delay.
  millis abandoned_release_delay = abandoned_call_release_delay;
};

// Counts of calls by outcome, for metrics.
struct call_dispatcher_counts {
  std::int64_t admitted = 0;
  std::int64_t answered = 0;
  std::int64_t refused = 0;  // Answered with the verdict not_run.
  std::int64_t may_have_run = 0;
  std::int64_t retries = 0;
  std::int64_t waiting = 0;
};

// Dispatches the calls of one pool that arrive at this daemon: admits them, orders them fairly
// among teams, chooses a runner for each and retries.
//
// A call waits in its team's queue, which is bounded; the next team is the one with the fewest
// calls in progress per share. A call is sent only after this daemon has acquired one of the
// runner's slots and, if the team has an upper limit, one of the team's slots, so neither limit is
// ever exceeded. A call is retried only within the retry budget, and only if it did not run or is
// idempotent. Each call is answered exactly once, at its deadline at the latest, except that a call
// that is not idempotent may be answered later if a runner is still executing it. Safe to call from
// any thread.
class call_dispatcher : public std::enable_shared_from_this<call_dispatcher> {
 public:
  // Runs a function on a thread that is allowed to block.
  using run_blocking = std::function<void(std::function<void()>)>;

  call_dispatcher(pool_id pool, const clock& time, leased_slots& slots, runner_port& runners,
                  event_sink& events, run_blocking run, call_dispatcher_options options);

  void set_runners(const std::vector<runner_host>& runners);
  void set_share(const team_id& team, std::int64_t share, bool limited);

  // Fails at once with `overloaded` if `max_waiting` calls of the team are already waiting.
  void submit(call_request call, std::int64_t max_waiting, reply<call_answer> done);
  // Sends every waiting call that can get a runner, and refuses those past their deadline.
  void dispatch_waiting();
  // Refuses the waiting calls of all teams for which keep(team) is false, except calls that have
  // already been tried.
  void refuse_unless(const std::function<bool(const team_id&)>& keep);
  bool idle() const;
  call_dispatcher_counts counts() const;

 private:
  struct pending {
    call_request call;
    reply<call_answer> done;
    instant queued;
    int tries = 0;
    std::vector<runner_id> tried;
  };
  using pending_ptr = std::shared_ptr<pending>;
  struct team_queue {
    std::deque<pending_ptr> waiting;
    std::int64_t share = 1;
    std::int64_t in_progress = 0;
    bool limited = false;  // The team has an upper limit on calls.
  };
  struct dispatch {
    pending_ptr call;
    runner_id runner;
    std::vector<std::string> slots;
    millis timeout;
  };
  using answers = std::vector<std::function<void()>>;

  bool admit(const pending_ptr& p, std::int64_t max_waiting);
  // Slots of a call that was given up without an answer. They stay in use until the runner must
  // have ended the call.
  struct abandoned_call {
    instant until;
    std::vector<std::string> slots;
  };

  void release_slots(const dispatch& d, const result<runner_answer>& answer);
  void release_abandoned(instant now);
  void expire(instant now, answers& out);
  bool next(instant now, dispatch& out);
  bool choose_runner(pending& p, team_queue& queue, instant now, dispatch& out);
  millis try_timeout(const pending& p, const runner_id& runner, instant now) const;
  void execute(const dispatch& d);
  void finish(const dispatch& d, const result<runner_answer>& answer, double latency_ms);
  bool may_retry(const dispatch& d, const failure& f, instant now);

  const pool_id pool;
  const clock& time;
  leased_slots& slots;
  runner_port& port;
  event_sink& events;
  const run_blocking run;
  const call_dispatcher_options options;

  mutable std::mutex lock;
  std::map<runner_id, runner_host> hosts;
  std::map<runner_id, runner_stats> stats;
  std::map<team_id, team_queue> queues;
  retry_budget retries;
  std::vector<abandoned_call> abandoned_calls;
  call_dispatcher_counts counters;
};

}  // namespace monsoonmux
