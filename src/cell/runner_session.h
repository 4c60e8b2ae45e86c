#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "async/event_log.h"
#include "base/clock.h"
#include "cell/runner_port.h"
#include "cell/timer.h"
#include "decide/runner_table.h"

namespace monsoonmux::cell {

struct session_options {
  millis max_lease{10'000};             // Longest lease that a runner grants.
  millis poll_wait{2'000};              // One look waits this long for an end.
  millis retry{200};                    // After an order that got no answer.
  std::int32_t max_start_attempts = 3;  // Then the run is closed by a stop.
  millis probe_interval{1'000};         // Between looks at a runner that does not answer.
};

// What a session tells its owner.
class session_events {
 public:
  virtual ~session_events() = default;
  // The runner answered under our token; its room is known now.
  virtual void runner_admitted(const std::string& runner, std::int64_t incarnation) = 0;
  virtual void runner_unresponsive(const std::string& runner) = 0;
  // `number` is to be passed to end_stored() when the end is in the log.
  virtual void run_ended(const std::string& runner, const run_key& run, run_outcome how,
                         const std::string& checkpoint, std::int64_t number) = 0;
  // The run is over or never began, without an end that the runner lists.
  virtual void run_lost(const std::string& runner, const run_key& run, std::string_view why) = 0;
  virtual void checkpoint_reported(const std::string& runner, const run_key& run,
                                   const std::string& checkpoint) = 0;
  virtual void ticket_refused(const std::string& runner, const run_key& run) = 0;
  // The runner has seen a higher token than ours.
  virtual void token_refused(const std::string& runner) = 0;
};

// All that is said to one runner under one epoch, and what is known of its runs.
//
// A run is over only when the runner listed its end, when a look that was sent
// after its start (or its stop) was answered shows it neither running nor ended,
// when the runner was reborn, or when its lease has surely lapsed by the runner's
// own, possibly slow clock. A start without an answer is repeated, which is
// harmless; if that does not help either, an answered stop closes the run.
class runner_session {
 public:
  runner_session(runner_port& port, const clock& time, event_log& events, session_events& leader,
                 std::string id, epoch token, instant inherited_until,
                 const session_options& options);
  ~runner_session();
  runner_session(const runner_session&) = delete;
  runner_session& operator=(const runner_session&) = delete;

  void update(const runner_entry& entry);
  void unlist() { this->listed = false; }
  // A run that a former owner may have started there.
  void recover(const run_key& run);
  void start(const run_key& run, std::string payload, std::string ticket, std::string checkpoint);
  void stop(const run_key& run);
  // The end with this number is in the log. Ends may be stored in any order.
  void end_stored(std::int64_t number);
  void tick();
  bool has_runs() const { return !this->runs.empty(); }
  // It answered under our token in its present life, as far as known.
  bool is_announced() const { return this->announced; }

 private:
  struct tracked_run {
    bool recovered = false;
    instant answered_at{0};              // Of a start or stop; 0: none yet.
    std::int32_t unanswered_starts = 0;  // Starts without an answer.
    std::int32_t attempts = 0;
    bool stopping = false;
    bool stop_in_flight = false;
    bool stop_answered = false;
    instant next_try{0};
    start_command command;
  };

  void poll();
  void poll_answered(const poll_answer& answer, instant sent);
  void report(const poll_report& report, instant sent);
  void note_restart(std::int64_t incarnation);
  void process_ends(const poll_report& report);
  void process_running(const poll_report& report);
  static bool lists(const poll_report& report, const run_key& run);
  void close_missing(const poll_report& report, instant sent);
  void send_start(const run_key& run);
  void start_answered(const run_key& run, const command_answer& answer);
  void start_refused(const run_key& run, tracked_run& l, std::string_view why);
  void send_stop(const run_key& run);
  void close_expired();
  void note_clock(const command_answer& answer);
  void note_clock(std::int64_t clock_ms);
  std::int64_t min_clock() const;
  std::int64_t lease_until() const;
  command_target target() const;
  bool reachable() const { return !this->entry.address.empty(); }

  runner_port& port;
  const clock& time;
  event_log& events;
  session_events& leader;
  const std::string id;
  const epoch token;
  const session_options options;
  runner_entry entry;
  bool listed = false;
  bool admitted = false;   // It has answered under our token in this life.
  bool announced = false;  // The owner may place work there.
  // The runner may have been reborn since its last report: a look failed, or its
  // entry or its clock says so. Until it reports, its lease is not renewed and no
  // end is noted as seen.
  bool incarnation_uncertain = false;
  // Nothing ran there lately, so nobody looked; it may have been reborn unnoticed.
  // The first look notes no end as seen.
  bool was_idle = false;
  std::int64_t incarnation = 0;
  std::int64_t clock_ms = 0;
  instant clock_at{0};
  instant leases_expire_at;
  std::int64_t last_end_seen = 0;
  // Ends up to this number are in the log, so the runner may forget them.
  std::int64_t stored_up_to = 0;
  std::set<std::int64_t> unstored_ends;  // Ends that were seen and are not in the log yet.
  bool poll_in_flight = false;
  instant next_poll{0};
  instant last_poll{0};
  std::int32_t failed_polls = 0;
  std::map<run_key, tracked_run> runs;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
