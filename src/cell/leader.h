#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "async/event_log.h"
#include "async/metric_registry.h"
#include "base/clock.h"
#include "cell/advice_dispatcher.h"
#include "cell/agent_pool.h"
#include "cell/progress_writer.h"
#include "cell/runner_session.h"
#include "decide/job_table.h"
#include "decide/median_clock.h"
#include "decide/placer.h"

namespace monsoonmux::cell {

struct leader_options {
  session_options session;
  agent_pool_options agents;
  placer_options placement;
  millis plan_delay{2};  // Changes within this time are planned for together.
  // After a round, this many times its duration is left to everything else.
  std::int64_t plan_pause_factor = 2;
  millis tick{50};
  // An append takes some 10 ms, and a few hundred when the log is slow. After this
  // the log counts as away, and nothing is placed that only it could set going.
  millis writer_stall{700};
  millis load_report_interval{1'000};  // Between two lines on how full the cell is.
  millis save_interval{1'000};         // Between two records of the learned run times.
  millis stop_grace{900};
  // An owner that has not heard yet what time it is for others starts nothing that is due
  // by the time of day.
  millis clock_agreement_delay{1'000};
};

// What a daemon needs to act as the owner: services that it shares with its other
// parts.
struct leader_services {
  event_loop& io;
  shared_log& log;
  runner_port& runners;
  frame_dialer& dialer;  // To daemons that carry orders.
  peer_port& peers;
  advice_call_queue& advice;
  const clock& time;
  event_log& events;
  metric_registry& metrics;
};

struct leader_handlers {
  std::function<bool()> may_command;
  // The epoch is over.
  std::function<void(const std::string& why)> on_epoch_over;
  // A record that the owner wrote is in the log.
  std::function<void(const logged_record&)> on_record;
};

// Runs all open jobs under one epoch.
//
// It takes over in this order: shut out former owners in the log, read the log to
// its end, look at every runner under the new token, adopt what runs, place. A
// start is sent only after the log has it, so a former owner that still runs can
// start nothing that this one does not know.
class leader final : public session_events {
 public:
  // No former owner gave an order after `previous_commands_until`.
  leader(const leader_services& services, daemon_id self, epoch at, instant previous_commands_until,
         const leader_options& options, leader_handlers on);
  ~leader() override;

  // First of all; `on_fenced` gets the end of the log.
  void fence(const std::function<void(std::int64_t)>& on_fenced);
  // The book holds all records up to the fence.
  void take_over(const job_table& book, const cell_config& config);
  bool active() const { return this->is_active; }
  const run_time_estimator& run_times() const { return this->state.run_times; }

  void configure(const cell_config& config);
  void submitted(const job_record& record);
  void cancelled(const job_id& job);
  void runner_listed(const runner_entry& entry);
  void runner_unlisted(const std::string& id);
  // Writes a caller's record with its own, then calls `on_stored`; never, if the
  // epoch is over first.
  void store(keyed_record record, std::function<void()> on_stored) {
    this->writer.append(std::move(record), std::move(on_stored));
  }
  // A peer is there: it can be asked for advice, and carry orders.
  void on_hello(const std::string& daemon, const peer_address& from, const hello_message& hello);
  void advice_answered(const advice_answer_message& answer);
  // True while what it writes gets into the log.
  bool can_write() const { return this->writer.log_responsive(); }

 private:
  void runner_admitted(const std::string& runner, std::int64_t incarnation) override;
  void runner_unresponsive(const std::string& runner) override;
  void run_ended(const std::string& runner, const run_key& run, run_outcome how,
                 const std::string& checkpoint, std::int64_t number) override;
  void run_lost(const std::string& runner, const run_key& run, std::string_view why) override;
  void checkpoint_reported(const std::string& runner, const run_key& run,
                           const std::string& checkpoint) override;
  void ticket_refused(const std::string& runner, const run_key& run) override;
  void token_refused(const std::string& runner) override;

  void tick();
  void report_load();
  void report_waiting(const std::vector<waiting_reason>& reasons);
  void request_plan();
  void open_due(instant now, std::int64_t wall_ms);
  void make_plan();
  void preempt(const std::vector<preemption>& runs);
  void send_starts(const std::vector<placement>& starts);
  // `accepted`: when the job was, as far as known.
  void adopt(const job_record& record, instant accepted);
  // The time of day that most daemons agree on.
  std::int64_t wall_ms() const;
  void adopt_run(live_job& job, const task_ref& task, const live_task& t);
  bool release_capacity(const std::string& runner, const run_key& run);
  void settle_run(const std::string& runner, const run_key& run, run_outcome how,
                  const std::string& checkpoint);
  void after_end(live_job& job, const run_key& run, run_outcome how, const end_effect& effect);
  void stop_runs(const live_job& job);
  void stop_gang(live_job& job, const run_key& run);
  void forget_if_final(const job_id& job);
  void advice_received(const step_ref& step, const std::vector<std::string>& asked, bool answered,
                       const std::vector<ticket>& tickets);
  runner_session& session_of(const std::string& runner);
  // Of a job's progress, or of the run times.
  keyed_record newest_record(const job_id& job) const;
  void save_run_times();
  std::int32_t attempts_of(const job_submission& submission) const;

  leader_services services;
  const daemon_id self;
  const epoch at;
  const leader_options options;
  const leader_handlers on;
  cell_state state;
  median_clock wall;
  placer planner;
  progress_writer writer;
  advice_dispatcher dispatcher;
  agent_pool agents;
  timer plan_timer;
  timer ticker;
  std::map<std::string, std::unique_ptr<runner_session>> sessions;
  instant inherited_until;
  instant load_reported{0};
  instant waiting_reported{0};
  std::int64_t saved_version = 0;  // Version of the run times in the log.
  instant saved_at{0};
  std::int64_t waiting_tasks = 0;
  std::int64_t undispatched_queries = 0;  // Of the last round: no daemon was free to ask.
  std::int64_t deferred_queries = 0;      // Of the last round; see plan.
  std::int64_t plan_rounds = 0;           // Of planning, since the last report.
  instant plan_ended{0};
  millis plan_duration{0};
  bool is_active = false;
  instant active_since{0};
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
