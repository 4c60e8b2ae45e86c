#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/failure.h"
#include "base/ids.h"
#include "base/resources.h"

namespace monsoonmux {

// Milliseconds on a worker's own monotonic clock; other clocks do not compare.
using worker_time = std::int64_t;
// Deadline of a command on the worker's clock; 0 means none.
constexpr worker_time no_deadline = 0;

// Asks an elector to grant or renew the placement right of a domain.
struct placement_lease_request {
  domain_id domain;
  std::string holder;  // Daemon and incarnation.
  millis ttl;
  epoch number;  // To be recorded; 0 leaves the record as it is.
};

struct placement_lease_answer {
  bool granted = false;
  epoch recorded;  // The highest number recorded for the domain.
  millis uptime;   // Since the worker started and forgot earlier grants.
};

enum class report_phase { running, succeeded, failed, stopped };

// What a worker says of one task. Ends are repeated until acknowledged.
struct task_report {
  task_id task;
  std::int32_t attempt = 1;
  report_phase phase = report_phase::running;
  resources amount;         // As given at the start.
  resources usage;          // Measured; lags.
  millis age;               // Since it started.
  millis since_checkpoint;  // Since its state was last saved, else its age.
};

// Identifies one run of a task.
struct task_run {
  task_id task;
  std::int32_t attempt = 1;

  auto operator<=>(const task_run&) const = default;
};

// Renews the leases of all tasks on the worker, acknowledges ends and asks for
// a report. With a lease of 0 it only asks.
struct sync_request {
  domain_id domain;
  epoch number;
  instant send_by;  // Local time; not sent at or after it, unless 0.
  millis lease;
  worker_time not_after = no_deadline;
  std::int64_t since = 0;       // Number of the last report read; 0 for none.
  std::vector<task_run> ended;  // Recorded; the worker may forget them.
};

// All tasks (`whole`), or those that started, ended, saved their state or changed
// their usage since the report that the request named. Numbers grow, also from
// one start of the worker to the next; a number that it did not give gets a
// whole report.
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
  instant send_by;  // Local time; not sent at or after it, unless 0.
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
  bool checkpoint = false;  // Save the state first.
};

// One verb for each thing that a worker does. Replies come in any order, or
// late; a failure says whether the command may have taken effect.
// docs/PLATFORM.md lists what is assumed of a worker.
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
