#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/resources.h"

namespace monsoonmux {

// The kinds of events in a history. All times are from one clock, that of the observer.
enum class history_kind {
  worker_size,      // subject: worker; amount: its total capacity.
  task_started,     // subject: worker; task, team, amount. Observed by the worker.
  task_stopped,     // subject: worker; task; phase. Observed by the worker.
  limit_in_force,   // team; amount: upper limit accepted at this time.
  job_accepted,     // task: job; number: tasks. Acknowledged to the caller.
  job_cancelled,    // task: job.
  task_recorded,    // task; phase: terminal phase that the scheduler reports.
  call_sent,        // task: call id; flag: idempotent.
  call_ran,         // task: call id; subject: runner. Observed by the runner.
  call_answered,    // task: call id; phase: verdict; text: id in the answer.
  key_withdrawn,    // text: key id.
  key_used,         // text: key id; flag: accepted.
  config_seen,      // subject: daemon; number: version in force there.
  config_accepted,  // number: version that was reported to the operator.
  runner_left,      // subject: runner that was announced as leaving.
  stop_planned,     // subject: daemon told to stop gracefully.
  request_cut,      // subject: daemon; a caller's connection broke.
};

// The name of the enumerator, as used in the JSON lines.
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

// Convert a history to and from JSON lines, one object per event. read_history() fails on the first
// malformed line.
std::string write_history(const history& events);
result<history> read_history(const std::string& lines);

}  // namespace monsoonmux
