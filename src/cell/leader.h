#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "async/event_log.h"
#include "async/metric_registry.h"
#include "base/clock.h"
#include "cell/advice_dispatcher.h"
#include "cell/agent_pool.h"
#include "cell/closed_runs.h"
#include "cell/command_gate.h"
#include "cell/followed_time.h"
#include "cell/inherited_leases.h"
#include "cell/lease_ledger.h"
#include "cell/progress_writer.h"
#include "cell/runner_contacts.h"
#include "cell/runner_session.h"
#include "decide/crash_suspects.h"
#include "decide/domain_sight.h"
#include "decide/job_table.h"
#include "decide/median_clock.h"
#include "decide/placer.h"

namespace monsoonmux::cell {

struct leader_options {
  session_options session;
  agent_pool_options agents;
  placer_options placement;
  millis plan_delay{2};  // Changes within this time share one planning round.
  // After a planning round, no other starts for this many times its duration, so that the
  // event loop has time for everything else.
  std::int64_t plan_pause_factor = 2;
  millis tick{50};
  // An append takes about 10 ms, and a few hundred when the log is slow. One that takes
  // longer than this marks the log as unavailable: placing stops, since a start is sent
  // only after its record is in the log.
  millis writer_stall{700};
  millis load_report_interval{1'000};  // Between two cell_load events.
  millis save_interval{1'000};         // Between two records of the run-time estimates.
  millis stop_grace{900};
  // A new leader has no clock samples of its peers yet. For this long after its takeover
  // it opens no occurrence of a job that is due by the time of day.
  millis clock_agreement_delay{1'000};
};

// The services of the daemon that the leader uses. They are shared with the daemon's
// other components.
struct leader_services {
  event_loop& io;
  shared_log& log;
  runner_port& runners;
  frame_dialer& dialer;  // Connects to the daemons that act as agents.
  peer_port& peers;
  advice_call_queue& advice;
  const clock& time;
  event_log& events;
  metric_registry& metrics;
};

struct leader_handlers {
  // True while commands may be sent to runners. The leader asks this only through its
  // command_gate.
  std::function<bool()> may_command;
  // True while starts may be sent to runners.
  std::function<bool()> may_start;
  // No lease that is granted now may last longer.
  std::function<instant()> leases_until;
  // Called when a later epoch has begun, so that this leader must stop.
  std::function<void(const std::string& why)> on_epoch_over;
  // The latest time in which the discovery list was followed without a gap.
  std::function<followed_time()> runners_followed;
  // Calls back when the configuration is at least as new as it was in the log at the call.
  std::function<void(std::function<void()>)> when_configuration_is_current;
  // Called for each record of the leader as soon as it is in the log.
  std::function<void(const logged_record&)> on_record;
};

// Schedules all open jobs of the cell during one leader epoch.
//
// A takeover has these steps: fence previous leaders in the log, read the log to its
// end, poll every runner with the new fencing token, adopt the runs that are found, and
// begin to place tasks. A start command is sent only after its record is in the log, so
// a previous leader that is still running cannot start a run that this one does not
// know of.
class leader final : public session_events {
 public:
  // `inherited`: the leases of all previous leaders.
  leader(const leader_services& services, daemon_id self, epoch own_epoch,
         const inherited_leases& inherited, const leader_options& options, leader_handlers on);
  ~leader() override;

  // The first step of a takeover. `on_fenced` receives the end offset of the log.
  void fence(const std::function<void(std::int64_t)>& on_fenced);
  // `table` must hold all records up to the fence.
  void take_over(const job_table& table, const cell_config& config);
  bool active() const { return this->is_active; }
  const run_time_estimator& run_times() const { return this->state.run_times; }

  void configure(const cell_config& config);
  void submitted(const job_record& record);
  void cancelled(const job_id& job);
  void runner_listed(const runner_entry& entry);
  void runner_unlisted(const std::string& id);
  // The runner gets no new work until its next readable entry; its runs are kept.
  void runner_entry_unreadable(const std::string& id);
  // Appends a caller's record in the same batches as the leader's records, then calls
  // `on_stored`. `on_stored` is never called if the epoch ends first.
  void store(keyed_record record, std::function<void()> on_stored) {
    this->writer.append(std::move(record), std::move(on_stored));
  }
  // Registers a live peer, which can answer advice queries and act as an agent.
  void on_hello(const std::string& daemon, const peer_address& from, const hello_message& hello);
  void advice_answered(const advice_answer_message& answer);
  // The runners that do not answer, for the next renewal of the claim. No lease is extended there
  // until a renewal without them is stored.
  std::vector<runner_lease_bound> lease_bounds();
  // The renewal with what lease_bounds() returned last is in the log.
  void lease_bounds_stored();
  // True while the leader's records get into the log in about the usual time.
  bool can_write() const { return this->writer.log_responsive(); }

 private:
  void runner_admitted(const std::string& runner) override;
  void untracked_run_found(const std::string& runner, const run_key& run) override;
  void runner_unresponsive(const std::string& runner) override;
  void run_ended(const std::string& runner, const run_key& run, run_outcome how,
                 const std::string& checkpoint, std::int64_t number) override;
  void run_lost(const std::string& runner, const run_key& run, std::string_view why) override;
  void checkpoint_reported(const std::string& runner, const run_key& run,
                           const std::string& checkpoint) override;
  void progress_changed(const std::string& runner, const run_key& run, bool gets_on) override {
    this->state.runners.note_progress(runner, run, gets_on);
  }
  void ticket_refused(const std::string& runner, const run_key& run) override;
  void token_refused(const std::string& runner) override;
  instant leases_until(const std::string& runner) override;
  bool has_room(const std::string& runner) override;

  // The end of a run as its runner lists it.
  struct listed_end {
    std::string runner;
    run_key run;
    run_outcome how = run_outcome::lost;
    std::string checkpoint;
    std::int64_t number = 0;
    std::int64_t incarnation = 0;  // Of the runner.
  };
  // Settles the run, and acknowledges its end once that is in the log.
  void apply_run_end(const listed_end& end);

  void tick();
  void forget_inherited_bounds(instant now);
  // Logs which runners the next renewal names and the last one did not, and the other way round.
  void report_contact(const std::vector<runner_lease_bound>& bounds);
  // Tells the placer until when the runs on runners out of contact may last.
  void note_ending_runs();
  void report_load();
  // `without_daemon`: the number of queries, by pool, that no daemon could take.
  void report_waiting(const plan& decided,
                      const std::map<std::string, std::int64_t>& without_daemon);
  void report_queries(const plan& decided,
                      const std::map<std::string, std::int64_t>& without_daemon);
  // How many lasting tasks wait that have had a run, and which of them for longest.
  void report_interrupted();
  // For how long the task was without a run, if it lasts and has had one.
  void report_placed_again(const placement& start);
  void report_quarantines();
  void request_plan();
  void open_due(instant now, std::int64_t wall_ms);
  void make_plan();
  void preempt(const std::vector<preemption>& runs);
  void send_starts(const std::vector<placement>& starts);
  // False if the start, which has waited for its agent or for the link, must not be sent any more.
  bool may_send(const start_command& command);
  // `accepted`: best estimate of when the job was accepted.
  void adopt(const job_record& record, instant accepted);
  // The time of day by the median of the daemons' clocks.
  std::int64_t wall_ms() const;
  void adopt_run(live_job& job, const task_ref& task, const live_task& t);
  // Calls the runners with adopted runs where the previous leader reached them. They get no new
  // work until they are listed.
  void contact_unlisted_runners();
  void forget_departed_runners();
  // True if runs may be on the runner, or if it is not known whether it crashed under one.
  bool is_awaited(const std::string& runner) const;
  // Logs what distinguishes the causes of an untracked run.
  void report_untracked_run(const std::string& runner, const run_key& run);
  // Why the run was taken for over, or that this leader never tracked it.
  std::string closed_as(const std::string& runner, const run_key& run) const;
  // Logs and counts that another run of the task counts somewhere, so it may run twice.
  void report_two_runs(const std::string& runner, const run_key& run);
  // Logs and counts that the run is one too many for the AntiAffinity of its step.
  void report_step_over_limit(const std::string& runner, const run_key& run);
  // Logs and counts that an earlier run of the task, which was given up, has ended done, and by how
  // much its runner's lease had lapsed then.
  void report_superseded(const superseded_run& later, const std::string& done_on,
                         const run_key& done);
  // Logs and counts that the runs which may be on the runner need more than its capacity.
  void check_capacity(const std::string& runner);
  bool release_capacity(const std::string& runner, const run_key& run);
  void settle_run(const std::string& runner, const run_key& run, run_outcome how,
                  const std::string& checkpoint);
  // The task of the run, if the run may be why its runner crashed; null otherwise.
  const live_task* possible_cause(const run_key& run) const;
  // Notes the lasting runs that have lasted for long, in the log too, for successors.
  void note_lasted_runs();
  // What the loss of a run means for its task.
  run_outcome outcome_of_loss(const std::string& runner, const run_key& run, std::string_view why);
  // For how long the discovery list has been followed without a gap.
  millis list_followed_for() const;
  // The same while the failure domain of the runner could be seen, as the list tells nothing of one
  // that is cut off.
  followed_time followed_for(const std::string& runner) const;
  // Notes whether the runner is listed and answers.
  void note_presence(const std::string& runner);
  // The present run of the task as one under which its runner may have crashed.
  suspected_run suspect_of(const run_key& run, const live_task& task) const;
  // Notes how long the run had lasted, and logs the crash and whether the task is given up for it.
  void crash_counted(const std::string& runner, const suspected_run& crashed, live_task& task,
                     const end_effect& effect);
  // Ends the isolation of tasks that have run for longer than their crashes took to come.
  void acquit_tasks();
  bool has_acquitted_itself(const std::string& runner, const run_key& run);
  // Adds the run, whose lease has lapsed, to the suspects. Returns true if its runner is gone, so
  // that it counts as crashed.
  bool record_lapse(const std::string& runner, const run_key& run, const live_task& task);
  runner_absence absence_of(const std::string& runner);
  // True if a crash in this run would be the last one that its task may have.
  bool would_end_job(const suspected_run& suspect) const;
  // True if the incarnation of the runner was draining, so that its end is no crash.
  bool was_to_leave(const std::string& runner, std::int64_t incarnation);
  // Counts the runs that were suspected on earlier incarnations of the runner.
  void confirm_suspects(const runner_entry& entry);
  // The runner runs on in the incarnation that it had: what was counted of that one is taken back.
  void disprove_suspects(const std::string& runner);
  void take_back(const std::string& runner, const suspected_run& suspect);
  // Counts the suspected runs whose runners stay away from the list, and ends holds that are over.
  void judge_suspects();
  // Returns true if the suspected run counts as a crash now.
  bool count_late_crash(const std::string& runner, const suspected_run& suspect);
  // The suspicion of the run is settled; its task may start unless another one holds it.
  void settle_suspicion(const run_key& run);
  void finish_job(live_job& job);
  void after_end(live_job& job, const run_key& run, run_outcome how, const end_effect& effect);
  void stop_runs(const live_job& job);
  void stop_gang(live_job& job, const run_key& run);
  void forget_if_final(const job_id& job);
  void advice_received(const step_ref& step, const std::vector<std::string>& asked, bool answered,
                       const std::vector<ticket>& tickets);
  runner_session& session_of(const std::string& runner);
  // Encodes the current progress of a job, or the run-time estimates for run_times_id.
  keyed_record newest_record(const job_id& job) const;
  void save_run_times();
  // The number of attempts in force for the job: of the newest configuration of its queue that is
  // known, be it the leader's or the one that the job was accepted under. Empty if none is.
  std::optional<std::int32_t> attempts_of(const job_submission& submission) const;
  // The same for a job from the log, whose progress may have them from a newer configuration.
  std::int32_t attempts_when_adopted(const job_record& record) const;
  // The jobs of queues that `next` has no more keep the attempts that are in force now.
  void keep_attempts_of_removed_queues(const cell_config& next);
  // Applies changed numbers of attempts to the jobs that are open.
  void update_attempts();
  // The same as soon as the configuration is at least as new as it is in the log now.
  void update_attempts_when_current();
  // Logs why a job is failed: the bound in force, and the runs that failed.
  void report_failed(live_job& job, const task_ref& task) const;

  leader_services services;
  const daemon_id self;
  const epoch own_epoch;
  const leader_options options;
  const leader_handlers on;
  cell_state state;
  median_clock wall;
  placer planner;
  progress_writer writer;
  runner_contacts contacts;
  advice_dispatcher dispatcher;
  agent_pool agents;
  command_gate gate;  // Between the sessions and the agents.
  closed_runs closed;
  crash_suspects suspects;
  domain_sight domains;
  instant suspects_judged{0};
  instant lasted_runs_noted{0};
  timer plan_timer;
  timer ticker;
  std::map<std::string, std::unique_ptr<runner_session>> sessions;
  inherited_leases inherited;
  lease_ledger leases;
  std::vector<std::string> with_ending_runs;  // The runners that note_ending_runs() noted last.
  instant load_reported{0};
  instant waiting_reported{0};
  std::int64_t saved_version = 0;  // Version of the run-time estimates in the log.
  instant saved_at{0};
  std::int64_t waiting_tasks = 0;
  std::int64_t undispatched_queries = 0;  // In the last round, for lack of a free daemon.
  std::int64_t deferred_queries = 0;      // In the last round; see plan.
  millis longest_query_wait{0};           // The same.
  std::map<std::string, std::int64_t> bytes_reported;  // Byte counters at the last load report.
  std::int64_t unsent_start_bytes = 0;  // Of starts that wait until their records are in the log.
  // Since the last load report: number of planning rounds, what they cost, and for how long they
  // and the ticks took.
  std::int64_t plan_rounds = 0;
  planning_work planning;
  millis planning_time{0};
  millis tick_time{0};
  instant plan_ended{0};
  millis plan_duration{0};
  bool is_active = false;
  instant active_since{0};
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
