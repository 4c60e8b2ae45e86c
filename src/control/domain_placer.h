#pragma once

#include <functional>
#include <memory>
#include <mutex>

#include "base/clock.h"
#include "base/event.h"
#include "control/budget_handler.h"
#include "control/placement_lease_manager.h"
#include "control/placer_options.h"
#include "control/task_table.h"
#include "journal/log_writer.h"

namespace monsoonmux {

enum class placer_phase { idle, recovering, placing };

std::string_view to_string(placer_phase phase);

// The state of a domain's placer, for other daemons and operators.
struct placer_status {
  domain_id domain;
  placer_phase phase = placer_phase::idle;
  epoch number;
  bool fenced = false;      // The placer has read its own fencing record back.
  bool first_ever = false;  // The log shows no previous placer of the domain.
  resources capacity;
  resources free;
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t workers = 0;
  std::size_t quarantined = 0;
};

// The state of one worker, for operators.
struct worker_view {
  worker_host host;
  resources free;
  std::size_t tasks = 0;
  bool usable = false;
  bool quarantined = false;
  millis since_report;  // Time since its last report.
};

// Places the tasks of one failure domain while it holds the domain's placement
// lease, and does nothing otherwise. Every daemon has one per domain;
// docs/DESIGN.md describes how the lease passes between daemons.
//
// After winning the lease, the placer recovers first. It requests a report from
// every worker, appends a fencing record and waits until it reads the record back;
// then it adopts the running tasks and queues the others. If a worker does not
// answer, the placer waits until the task leases of all tasks that a previous placer
// can have started have expired.
//
// Guarantees, provided that workers behave as docs/PLATFORM.md assumes: a task has
// one run at a time; a run that succeeded is recorded and never repeated; a worker
// is never allocated more than its total. Safe to call from any thread. Ports must
// not reply from within a call.
class domain_placer : public std::enable_shared_from_this<domain_placer> {
 public:
  // `holder` identifies this daemon and its incarnation to the electors.
  domain_placer(domain_id domain, daemon_id daemon, std::string holder, const clock& time,
                replica& state, log_writer& writer, worker_port& workers, event_sink& events,
                placer_options options);

  void set_hosts(const std::vector<worker_host>& hosts);
  // Whether to request the placement lease while this placer does not hold it.
  void set_candidate(bool candidate);
  // Performs all work that is due. Call about every 100 ms.
  void tick();
  // Releases the placement lease for a graceful stop, so that another daemon can
  // acquire it without waiting for it to expire.
  void resign();
  // True once the placement lease was released, or has expired, after resign().
  bool released() const;

  placer_status status() const;
  std::vector<worker_view> workers() const;
  // Returns, for each team with waiting work, by how much its demand exceeds its
  // allowance in this domain.
  std::vector<budget_request> budget_requests() const;
  // Transfers to another domain the part of the allowance that can be spared.
  void on_budget_request(const budget_request& request);

 private:
  using outbox = std::vector<std::function<void()>>;
  using unit_ptr = std::shared_ptr<const pending_unit>;
  using unique_guard = std::unique_lock<std::mutex>;

  // Runs the action with the lock held, then without it the calls that the action
  // added to `out`.
  template <class Action>
  void locked(Action action);

  void renew_placement_lease(instant now);
  void send_elector_request(const placement_lease_manager::elector_request& sent_request);
  void begin_recovery(instant now);
  void step_down(instant now);
  void append_fencing_record();
  void sync_workers(instant now);
  void on_sync(const worker_links::sync& sent_request, const result<worker_report>& answer,
               std::int64_t generation);
  bool recovered(instant now) const;
  void finish_recovery(instant now);
  void register_workers();
  void load_changes(instant now);
  void load_job(const job& value, instant now);
  void process_report(const worker_id& worker, const worker_report& report, instant sent,
                      instant now);
  void process_task(const worker_id& worker, const task_report& report, instant now);
  job_entry* resolve_job(const worker_id& worker, const task_report& report, instant now);
  void process_running(const worker_id& worker, const task_report& report, job_entry& job,
                       task_entry& task, instant now);
  void process_end(const worker_id& worker, const task_report& report, job_entry& job,
                   task_entry& task, instant now);
  void process_success(const worker_id& worker, const task_report& report, job_entry& job,
                       task_entry& task, instant now);
  void process_failure(const worker_id& worker, const task_report& report, job_entry& job,
                       task_entry& task, instant now);
  void recheck_unconfirmed(const worker_id& worker, instant sent);
  void process_missing(const worker_id& worker, const worker_report& report, instant sent,
                       instant now);
  void adopt(const worker_id& worker, const task_report& report, job_entry& job, task_entry& task,
             instant now);
  void schedule_retry(job_entry& job, const task_id& id, task_entry& task, millis delay,
                      instant now);
  void use_earlier_success(const task_id& id, task_entry& task);
  void end_task(job_entry& job, const task_id& id, task_entry& task, task_phase phase);
  void handle_lost_run(job_entry& job, const task_id& id, task_entry& task, instant now);
  void requeue_all(job_entry& job);
  void stop_gang(job_entry& job, instant now);
  void stop_unwanted(const worker_id& worker, const task_run& run, instant now);
  void acknowledge(const worker_id& worker, const task_run& run);
  void supersede(const worker_id& worker, const task_report& report, task_entry& task, instant now);
  int counted_failures(const task_entry& task) const;
  std::vector<task_id> tasks_on(worker_index worker) const;
  void check_unresponsive(instant now);
  void update_teams();
  void update_workers(instant now);
  void queue_ready(instant now);
  void check_unsatisfiable(instant now);
  void decide(instant now);
  void start(const unit_start& unit, instant now);
  void start_task(const task_start& placed, const job_entry& job, task_entry& task, instant now);
  void record_then_start(const task_start& placed, task_entry& task);
  void send_start(const task_id& id, const worker_id& worker, const job_entry& job,
                  task_entry& task, instant now);
  void on_start(const task_run& run, const result<void>& answer, instant now);
  void stop(const task_stop& value, instant now);
  void send_stop(const worker_id& worker, const task_run& run, bool checkpoint, instant now);
  void retry_stops(instant now);
  void record_state(const task_id& id, const task_entry& task, task_phase phase);
  void flush_updates(instant now, bool at_once);
  bool active(std::int64_t generation) const { return generation == this->generation; }
  void emit(std::string_view kind, std::vector<event_field> fields);

  const domain_id domain;
  const daemon_id daemon;
  const clock& time;
  replica& state;
  log_writer& writer;
  worker_port& port;
  event_sink& events;
  const placer_options options;

  mutable std::mutex lock;
  outbox out;
  placement_lease_manager domain_lease;
  worker_links links;
  task_table tasks;
  worker_health health;
  budget_handler budgets;
  std::unique_ptr<scheduler> schedule;
  placer_phase phase = placer_phase::idle;
  std::int64_t generation = 0;  // Incremented when the lease is won or lost.
  bool candidate = false;
  bool resigned = false;
  instant release_at;
  bool fenced = false;
  bool first_ever = false;
  instant acquired_at;
  std::int64_t change_cursor = 0;
  config_version teams_version{-1};
  struct ack {
    worker_id worker;
    task_run run;
  };
  std::map<worker_id, worker_report> recovery_reports;
  std::set<job_id> jobs_to_queue;  // Jobs that may have waiting tasks.
  std::map<task_id, task_state> updates;
  std::vector<ack> acks;  // Ends to acknowledge once `updates` is in the log.
  bool flushing = false;
  instant last_flush;
  instant last_unsatisfiable_check;
};

template <class Action>
void domain_placer::locked(Action action) {
  outbox to_send;
  {
    const std::lock_guard guard(this->lock);
    action(this->time.now());
    to_send.swap(this->out);
  }
  for (const auto& send : to_send) {
    send();
  }
}

}  // namespace monsoonmux
