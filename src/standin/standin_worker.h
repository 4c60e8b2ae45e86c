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

// A worker that runs pretended tasks under leases. Commands: "run:MS" ends well
// after MS, "fail:MS" ends badly, "serve" runs until it is stopped. It refuses
// late commands and those of an earlier epoch, checks no capacity, and keeps
// ends until they are acknowledged.
class standin_worker {
 public:
  standin_worker(worker_host host, const clock& time, history_recorder& recorder);

  http_response handle(const std::string& verb, const http_request& request);
  // Ends what is due. Called every few ms.
  void tick();
  // Loses all tasks, as a restarted host does.
  void restart();
  // Drops every request, as a host that went away.
  void set_unresponsive(bool value);
  bool is_unresponsive() const;
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
    std::int64_t changed_in_report = 0;  // Number of the report that tells of it.
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
  std::int64_t report_number;        // Report number; starts from the clock.
  std::int64_t first_report_number;  // Its value when the worker started.
  bool unresponsive = false;
  bool fails_all = false;
};

}  // namespace monsoonmux
