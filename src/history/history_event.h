#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/resources.h"

namespace monsoonmux {

// What a history records. Times are on one clock, that of the observer.
enum class history_kind {
  worker_size,      // subject: worker; amount: its total.
  task_started,     // subject: worker; task, team, amount. Seen by the worker.
  task_stopped,     // subject: worker; task; phase. Seen by the worker.
  limit_in_force,   // team; amount: upper limit accepted at this time.
  job_accepted,     // task: job; number: tasks. Acknowledged to the caller.
  job_cancelled,    // task: job.
  task_recorded,    // task; phase: terminal phase that the system states.
  call_sent,        // task: call id; flag: idempotent.
  call_ran,         // task: call id; subject: runner. Seen by the runner.
  call_answered,    // task: call id; phase: verdict; text: id in the answer.
  key_withdrawn,    // text: key id.
  key_used,         // text: key id; flag: accepted.
  config_seen,      // subject: daemon; number: version in force there.
  config_accepted,  // number: version that the operator was told.
  runner_left,      // subject: runner announced as leaving.
  stop_planned,     // subject: daemon told to stop gracefully.
  request_cut,      // subject: daemon; a caller's connection broke.
};

// "worker_size" and so on, as in the JSON lines.
std::string_view to_string(history_kind kind);

struct history_event {
  std::int64_t at_ms = 0;
  history_kind kind = history_kind::worker_size;
  std::string subject;
  std::string task;
  std::string team;
  std::string phase;
  std::string text;
  std::int64_t number = 0;
  bool flag = false;
  resources amount;
};

using history = std::vector<history_event>;

// One JSON object per line, and back. Reading fails on the first bad line.
std::string write_history(const history& events);
result<history> read_history(const std::string& lines);

}  // namespace monsoonmux
