#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "async/event_log.h"
#include "base/clock.h"
#include "cell/lease_expiry.h"
#include "cell/runner_clock.h"
#include "cell/runner_port.h"
#include "cell/runner_tokens.h"
#include "cell/timer.h"
#include "decide/run_progress.h"
#include "decide/runner_table.h"
#include "model/runner_contact.h"

namespace monsoonmux::cell {

struct session_options {
  millis max_lease{10'000};             // The longest lease that commands ask for.
  millis runner_max_lease{10'000};      // The longest lease that a runner grants.
  millis poll_wait{2'000};              // A poll waits this long for a run to end.
  millis retry{200};                    // Delay after a command without an answer.
  std::int32_t max_start_attempts = 3;  // After these, a stop command closes the run.
  millis probe_interval{1'000};         // Between polls of a runner that does not answer.
};

// The permission that a start carries where its queue has advice.
struct start_ticket {
  std::string text;  // Empty: none is needed.
  // No runner accepts the ticket later than this.
  instant refused_after = never;
};

// Callbacks of a session to the leader.
class session_events {
 public:
  virtual ~session_events() = default;
  // The incarnation of the runner's entry answered under our fencing token, so its free
  // capacity is known now.
  virtual void runner_admitted(const std::string& runner) = 0;
  // The runner reports a run that the session does not track. The session stops it; its
  // end or its loss is reported like that of any run. Called before runner_admitted() if
  // the report is the one that admits the runner.
  virtual void untracked_run_found(const std::string& runner, const run_key& run) = 0;
  virtual void runner_unresponsive(const std::string& runner) = 0;
  // When the end is in the log, `number` must be passed to end_stored().
  virtual void run_ended(const std::string& runner, const run_key& run, run_outcome how,
                         const std::string& checkpoint, std::int64_t number) = 0;
  // The run is over or never began, and the runner lists no end of it.
  virtual void run_lost(const std::string& runner, const run_key& run, std::string_view why) = 0;
  virtual void checkpoint_reported(const std::string& runner, const run_key& run,
                                   const std::string& checkpoint) = 0;
  // The reports have begun, or have ceased, to show that the run gets on.
  virtual void progress_changed(const std::string& runner, const run_key& run, bool gets_on) = 0;
  virtual void ticket_refused(const std::string& runner, const run_key& run) = 0;
  // No lease on the runner may be granted now that lasts longer; in the past: none at all.
  virtual instant leases_until(const std::string& runner) = 0;
  // False if all that may be on the runner, with what is about to start, is more than its capacity,
  // which may shrink at any time.
  virtual bool has_room(const std::string&) { return true; }
  // The runner has seen a higher fencing token than ours.
  virtual void token_refused(const std::string& runner) = 0;
};

// The leader's communication with one runner during one epoch, and the runs that it
// tracks there.
//
// A run counts as over only in these cases: the runner listed its end; a poll that was
// sent after the answer to its start or stop shows it neither running nor ended; the
// runner restarted; or its lease has expired by the runner's own clock even if that clock
// is slow. A start without an answer is retried, which is idempotent. If the retries get
// no answer either, a stop is sent until it is answered, which closes the run.
class runner_session {
 public:
  runner_session(runner_port& port, const clock& time, event_log& events, session_events& leader,
                 std::string id, epoch leader_epoch, const lease_limits& inherited,
                 const session_options& options);
  ~runner_session();
  runner_session(const runner_session&) = delete;
  runner_session& operator=(const runner_session&) = delete;

  void update(const runner_entry& entry);
  void unlist() { this->listed = false; }
  // The runner is not listed now, and was last reached so. It may have left, or restarted.
  void use_last_known_address(const runner_contact& contact);
  // Tracks a run that a previous leader may have started on this runner.
  // `placed_on`: the incarnation that its start was meant for; 0: unknown.
  // `lasts`: its task lasts, so it has to run again in time.
  void recover(const run_key& run, std::int64_t placed_on, bool lasts);
  void start(const run_key& run, std::string payload, const start_ticket& ticket,
             std::string checkpoint, bool lasts);
  void stop(const run_key& run);
  // Reports that the end with this number is in the log. Ends may be stored in any order.
  void end_stored(std::int64_t number);
  // True if tick() would do something at `now`, which may lie a little in the past. Reads no clock.
  bool is_due(instant now) const;
  void tick();
  // Leases may be granted again, or for longer.
  void leases_allowed();
  bool has_runs() const { return !this->runs.empty(); }
  // True if the runner does not answer, or has not yet, although there are runs on it.
  bool out_of_contact() const;
  // The incarnation that reported last under our token; 0: none yet.
  std::int64_t last_incarnation() const { return this->incarnation; }
  // True if the runner has answered under our token and not restarted since, as far as known.
  bool is_admitted() const { return this->admitted; }
  // For how long the run is known to have run: from the answer to its start, or the first report
  // of it, to the runner's last answer. 0 if it has not answered for the run, or is to be stopped.
  millis known_to_run(const run_key& run) const;
  // By how much the runner's own clock, in its last report, had passed the end of the longest lease
  // that was granted to this incarnation; below 0: it had not. Empty if this leader has granted
  // none, or one of which the call may have come late.
  std::optional<millis> lapse_margin() const;
  // Until when the leases of the runs on the runner count, if none is granted from now on.
  lease_limits lease_limit() const;
  // When the runs on the runner are given up if it stays out of contact; `never` if it is in
  // contact or there are none.
  instant runs_given_up_at() const;
  // True if, as far as known, the present incarnation has answered under our token.
  bool is_announced() const { return this->announced; }

 private:
  struct tracked_run {
    bool recovered = false;
    bool lasts = false;
    instant answered_at{0};              // When a start or stop was answered; 0: not yet.
    std::int32_t unanswered_starts = 0;  // Start commands without an answer.
    std::int32_t attempts = 0;
    std::int64_t placed_on = 0;  // The incarnation that the start is meant for.
    bool awaits_proof = false;   // The start is sent once `placed_on` is proven to run.
    // The start is sent once others are answered, so that its lease may be long enough.
    bool awaits_answers = false;
    bool renews = false;  // The lease of the start is as long as that of a renewal.
    // The incarnation that answered last is known to have executed the start, so no later one has
    // but for a copy that came late.
    bool confirmed = false;
    bool stopping = false;
    bool stop_in_flight = false;
    bool stop_answered = false;
    instant next_try{0};
    instant ticket_refused_after = never;
    run_progress progress;
    start_command command;
  };

  static constexpr std::int64_t no_grant = 0;

  // True if a start or stop of the run has to be sent again once its `next_try` has come.
  static bool awaits_repeat(const tracked_run& tracked);
  // Sends the command of the run again then, if none is answered before.
  void try_again_at(tracked_run& tracked, instant when);
  // False if a poll is in flight, or there is nothing to ask, or nobody.
  bool may_poll() const;
  bool poll_due(instant now, bool acknowledge) const;
  // `acknowledge`: also soon after the last poll, although ends are not in the log yet.
  void poll(bool acknowledge = false);
  void poll_answered(const poll_answer& answer, const poll_request& request, instant sent);
  bool has_unstored_ends() const { return this->last_end_seen > this->stored_up_to; }
  // True if the runner may still list ends that are in the log.
  bool acknowledgement_due() const { return this->stored_up_to > this->acknowledged_up_to; }
  // True if a start was sent of which it is not known that the incarnation which answered last has
  // executed it. If another one did, and its run has ended, an acknowledgement would make it
  // forget an end that nobody has seen.
  bool has_unconfirmed_start() const;
  // True if ends may be acknowledged now, if there are any.
  bool may_acknowledge(instant now) const;
  // The poll, which may have acknowledged ends, was answered so.
  void settle_acknowledgement(const poll_request& request, command_status status);
  // A start gets a higher token than an acknowledgement that may still be executed: an incarnation
  // that has executed the start refuses that.
  void supersede_acknowledgement();
  millis proof_age(instant now) const { return now - this->runner_time.alive_at(); }
  void handle_report(const poll_report& report, const poll_request& request, instant sent);
  void note_restart(const poll_report& report, const poll_request& request, instant sent);
  // From now on commands carry a higher token, since the runner has restarted, as far as known.
  void raise_token_for_restart();
  // True if the runner has to refuse a command with this token once it has answered under ours.
  bool is_superseded(fencing_token sent_with) const { return sent_with < this->tokens.current(); }
  void log_superseded(std::string_view command, const run_key& run);
  // The number of runs of which a start may still be executed.
  std::int64_t starts_without_answer() const;
  void announce(std::int64_t reported);
  void process_ends(const poll_report& report);
  // A run that was given up is listed as done. That counts as its end only if the runner's lease
  // has lapsed since (RULES, TWICE): if it has not, it is neither extended nor the end acknowledged
  // before it has.
  void check_lapse(const run_key& run);
  void note_granted(std::int64_t lease_until_ms);
  void process_running(const poll_report& report);
  // True if the runner has crashed since the run was placed on it, unless its start has reached
  // the present incarnation.
  bool crashed_under(const tracked_run& tracked) const;
  static bool lists(const poll_report& report, const run_key& run);
  // `fences`: the report refuses all starts that were sent before it.
  void close_missing(const poll_report& report, instant sent, bool fences);
  // For how long after the last sign of life of the runner a run there may still last, if commands
  // of this leader come late.
  millis late_lease_span() const;
  void log_closed(const run_key& run, const tracked_run& tracked, std::string_view why);
  // True if the incarnation that answered last ran a moment ago, so that a lease that is
  // reckoned by its clock cannot reach another one.
  bool is_proven(instant now) const;
  // The incarnation has just answered a poll that did not wait.
  void note_proof(instant sent);
  // Polls without renewing the lease; the starts that wait for that follow its answer.
  void prove();
  void proof_answered(const poll_answer& answer, fencing_token token, instant sent);
  // The runner may have restarted: its next report decides.
  void suspect_restart();
  std::vector<run_key> starts_without_proof() const;
  void send_start(const run_key& run);
  void start_answered(const run_key& run, const command_answer& answer, fencing_token token,
                      instant sent);
  // Repeats a start that was not executed, as far as known, unless it was repeated often enough.
  void retry_start(const run_key& run, tracked_run& tracked, std::string_view why);
  void start_refused(const run_key& run, tracked_run& tracked, std::string_view why);
  void send_stop(const run_key& run);
  // True if the runs are given up when the leases have ended, unless the runner answers before.
  bool may_expire() const;
  // When the first runs are over unless the runner answers before.
  instant lease_end() const;
  // When the run is over unless the runner answers before. One that lasts counts by the commands of
  // this leader; those of previous leaders count as if none came late, since its task must not be
  // without a run for so long.
  instant end_of(const tracked_run& tracked) const;
  void close_expired();
  // Returns true if the answer is known to be of the incarnation that answered last.
  bool update_clock(const command_answer& answer, fencing_token token, instant sent);
  bool has_lasting_runs() const;
  // The longest lease, on the runner's clock, that may be granted now; empty if none may. Beside a
  // run that lasts it is so short that this run ends in time though each command come late.
  std::optional<millis> next_lease(instant now) const;
  // The same for a start; empty also if others have to be answered before. Beside a run that lasts
  // it is short while the runner's lease goes on, as a start in doubt might extend that.
  std::optional<millis> next_start_lease(instant now) const;
  // True if a command with this lease makes the next renewal wait.
  bool is_renewal(millis lease) const;
  // Sends the starts that wait for the answers of others.
  void send_after_answers();
  // The end of the lease on the runner's clock, from `now` on, for which it was reckoned. The
  // process may have been frozen in between.
  std::int64_t end_of_lease(millis lease, instant now) const;
  // The command with this grant, if it has one, was answered so.
  void settle_grant(std::int64_t grant, command_status status);
  // The runner has executed a command with our newest token, so it refuses all that come late.
  void note_fence();
  // True if neither the last report nor the entry is of another incarnation than this one.
  bool is_present(std::int64_t placed_on) const {
    return this->incarnation == placed_on && this->entry.incarnation == placed_on;
  }
  command_target target() const;
  bool reachable() const { return !this->entry.address.empty(); }

  runner_port& port;
  const clock& time;
  event_log& events;
  session_events& leader;
  const std::string id;
  const session_options options;
  runner_entry entry;
  bool listed = false;
  const instant created;
  bool admitted = false;   // This incarnation has answered under our token.
  bool announced = false;  // The leader may place tasks there.
  // The runner may have restarted since its last report: a poll failed, or its entry or
  // its clock indicates a restart. Until its next report, polls neither renew its lease
  // nor acknowledge ends.
  bool incarnation_uncertain = false;
  std::int64_t incarnation = 0;
  // A new one for each incarnation that is met, and after each lease without an answer.
  runner_tokens tokens;
  fencing_token first_of_incarnation{0};  // Lower ones were for previous incarnations.
  runner_clock runner_time;
  lease_expiry leases;
  // On the clock of this incarnation. The longest lease that was granted to it ends then; 0: none
  // was.
  std::int64_t granted_until_ms = 0;
  std::int64_t reported_clock_ms = 0;  // In its last report.
  std::set<run_key> lapsed_runs;       // Given up, as their leases had lapsed by our clock.
  bool listed_all_it_can =
      false;                  // Further ends follow once those of the last report are forgotten.
  bool awaits_lapse = false;  // No lease is granted before the runner's has lapsed.
  std::int64_t last_end_seen = 0;
  // Ends up to this number are in the log, so they can be acknowledged to the runner,
  // which may then forget them.
  std::int64_t stored_up_to = 0;
  // Ends up to this number were acknowledged by a poll that this incarnation answered.
  std::int64_t acknowledged_up_to = 0;
  std::set<std::int64_t> unstored_ends;  // Reported ends that are not in the log yet.
  // A start without a ticket and without an answer may be executed until then, also by the runner's
  // next incarnation. Until then no end is acknowledged: the runner would forget that of its task.
  instant ends_kept_until{0};
  bool poll_in_flight = false;
  // The token of the poll in flight, if it acknowledges ends.
  std::optional<fencing_token> acknowledged_with;
  instant next_poll{0};
  instant last_renewal;  // When the last command that renewed the lease was sent.
  bool proof_in_flight = false;
  instant proven_until{0};  // Because of an answer that was under way for long.
  instant busy_since;       // When the first of the present runs was started or taken over.
  std::int32_t failed_polls = 0;
  std::map<run_key, tracked_run> runs;
  // No start or stop has to be sent again before this.
  instant next_command = never;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
