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

// By then a runner has ended a call whose caller went away.
constexpr millis abandoned_call_release_delay{2'000};

struct call_dispatcher_options {
  millis min_first_try_timeout{250};  // An idempotent call is tried elsewhere after the
  int first_try_latency_factor = 6;   // larger of this and this many smoothed latencies.
  // A runner may go on with a call that was given up; its slot stays taken for
  // this long.
  millis abandoned_release_delay = abandoned_call_release_delay;
};

// How a call went, in numbers, for metrics.
struct call_dispatcher_counts {
  std::int64_t admitted = 0;
  std::int64_t answered = 0;
  std::int64_t refused = 0;  // not_run
  std::int64_t may_have_run = 0;
  std::int64_t retries = 0;
  std::int64_t waiting = 0;
};

// The calls of one pool through this daemon: admission, fair order among teams,
// choice of the runner, retries.
//
// A call waits in its team's queue, which is bounded; the next team is the one
// with the fewest calls in progress per share. A call is sent only while this
// daemon holds a slot of the runner and one of its team's limit, so neither is
// ever exceeded. It is sent again only if the verdict allows: not run, or
// idempotent and within the retry budget. Each call is answered exactly once, at
// its deadline at the latest unless a runner still holds one that may run once.
// Safe to call from any thread.
class call_dispatcher : public std::enable_shared_from_this<call_dispatcher> {
 public:
  // Runs an action on a thread that may block.
  using run_blocking = std::function<void(std::function<void()>)>;

  call_dispatcher(pool_id pool, const clock& time, leased_slots& slots, runner_port& runners,
                  event_sink& events, run_blocking run, call_dispatcher_options options);

  void set_runners(const std::vector<runner_host>& runners);
  void set_share(const team_id& team, std::int64_t share, bool limited);

  // Fails at once with overloaded if `max_waiting` calls of the team wait.
  void submit(call_request call, std::int64_t max_waiting, reply<call_answer> done);
  // Sends what can be sent, and refuses what is past its deadline.
  void dispatch_waiting();
  // Refuses the waiting calls of teams for which `keep` is false.
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
  // Slots of a call that was given up, until its runner has surely ended it.
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
