#pragma once

#include <map>
#include <mutex>
#include <set>

#include "http/http_message.h"
#include "platform/host_list.h"
#include "platform/worker_port.h"
#include "right/elector.h"
#include "standin/history_recorder.h"

namespace monsoonmux {

// Simulates a worker that runs tasks under leases. The task command "run:MS" succeeds
// after MS milliseconds, "fail:MS" fails after MS milliseconds, and "serve" runs
// until it is stopped. The worker refuses requests whose deadline has passed and
// requests with an earlier epoch, does not check capacity, and keeps the ends of
// tasks until they are acknowledged.
class standin_worker {
 public:
  standin_worker(worker_host host, const clock& time, history_recorder& recorder);

  http_response handle(const std::string& verb, const http_request& request);
  // Ends the tasks that have completed or whose lease has expired. Called every few ms.
  void tick();
  // Simulates a restart of the host: all tasks, recorded epochs and grants are lost.
  void restart();
  // While set, the server drops every request to this worker, as if its host were
  // unreachable.
  void set_unresponsive(bool value);
  bool is_unresponsive() const;
  // While set, every task that is started fails.
  void set_fails_all(bool value);
  const worker_host& description() const { return this->host; }

 private:
  struct task {
    report_phase phase = report_phase::running;
    resources amount;
    instant started;
    instant checkpointed;
    instant ends_at;
    instant lease_until;
    bool fails = false;
    std::int64_t changed_in_report = 0;  // Report number of the latest change.
  };

  bool deadline_passed(worker_time not_after) const;
  bool is_stale(const domain_id& domain, epoch number);
  worker_report sync(const sync_request& request);
  void start(const start_request& request);
  void stop(const stop_request& request);
  void end(const task_run& run, task& t, report_phase phase);
  void tick_locked();

  const worker_host host;
  const clock& time;
  history_recorder& recorder;
  mutable std::mutex lock;
  instant boot;
  elector local_elector;
  std::map<domain_id, epoch> epochs;
  std::map<task_run, task> tasks;
  std::int64_t report_number;        // Grows with each change; starts from the wall clock.
  std::int64_t first_report_number;  // Value of report_number at the last start.
  bool unresponsive = false;
  bool fails_all = false;
};

}  // namespace monsoonmux
