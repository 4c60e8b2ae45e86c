#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/failure.h"
#include "base/ids.h"
#include "base/resources.h"

namespace monsoonmux {

// Milliseconds on a worker's own monotonic clock; not comparable with the times of
// other clocks.
using worker_time = std::int64_t;
// Stands for no deadline. All other deadlines of commands are times on the worker's
// clock.
constexpr worker_time no_deadline = 0;

// Asks an elector to grant or renew the placement lease of a domain.
struct placement_lease_request {
  domain_id domain;
  std::string holder;  // Identifies the daemon and its incarnation.
  millis ttl;
  epoch number;  // Epoch to record; 0 leaves the recorded one unchanged.
};

struct placement_lease_answer {
  bool granted = false;
  epoch recorded;  // The highest epoch recorded for the domain.
  millis uptime;   // Since the worker started; a start forgets all earlier grants.
};

enum class report_phase { running, succeeded, failed, stopped };

// A worker's report on one run of a task. The worker repeats the report of an end
// until it is acknowledged.
struct task_report {
  task_id task;
  std::int32_t attempt = 1;
  report_phase phase = report_phase::running;
  resources amount;         // As allocated by the start command.
  resources usage;          // Measured; lags.
  millis age;               // Since the start of the run.
  millis since_checkpoint;  // Since the last checkpoint; the age if there is none.
};

// Identifies one run of a task.
struct task_run {
  task_id task;
  std::int32_t attempt = 1;

  auto operator<=>(const task_run&) const = default;
};

// Renews the leases of all tasks on the worker, acknowledges ends and requests a
// report. With a lease of 0, no lease is renewed.
struct sync_request {
  domain_id domain;
  epoch number;
  instant send_by;  // On the sender's clock; not sent at or after this time. 0: no limit.
  millis lease;
  worker_time not_after = no_deadline;
  std::int64_t since = 0;       // Number of the last report received; 0 for none.
  std::vector<task_run> ended;  // Ends that are recorded; the worker may forget them.
};

// Lists all tasks (if `whole`), or only those that started, ended, saved a checkpoint
// or changed their usage since the report that the request named in `since`. Report
// numbers increase, also across restarts of the worker. If `since` is not a number
// that the worker has issued, the report lists all tasks.
struct worker_report {
  worker_time now = 0;
  millis uptime;
  std::int64_t number = 0;
  bool whole = true;
  std::vector<task_report> tasks;
};

struct start_request {
  domain_id domain;
  epoch number;
  instant send_by;  // On the sender's clock; not sent at or after this time. 0: no limit.
  worker_time not_after = no_deadline;
  task_run run;
  resources amount;
  millis lease;
  std::string command;
};

struct stop_request {
  domain_id domain;
  epoch number;
  worker_time not_after = no_deadline;
  task_run run;
  bool checkpoint = false;  // Save a checkpoint first.
};

// The commands that a worker accepts. Replies may arrive in any order, and late; a
// failure says whether the command may have taken effect. docs/PLATFORM.md lists
// the assumptions about workers.
class worker_port {
 public:
  virtual ~worker_port() = default;

  virtual void acquire(const worker_id& worker, placement_lease_request request,
                       reply<placement_lease_answer> done) = 0;
  virtual void sync(const worker_id& worker, sync_request request, reply<worker_report> done) = 0;
  virtual void start(const worker_id& worker, start_request request, reply<void> done) = 0;
  virtual void stop(const worker_id& worker, stop_request request, reply<void> done) = 0;
};

}  // namespace monsoonmux
