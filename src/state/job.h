#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"

namespace monsoonmux {

enum class work_kind : std::uint8_t { batch, service, gang };
enum class urgency : std::uint8_t { normal, urgent };

// The names of the enumerators as used in the API.
std::string_view to_string(work_kind kind);
std::string_view to_string(urgency value);

// The specification of a job as submitted by the caller. Immutable once the job is accepted.
struct job_spec {
  job_id id;
  team_id team;
  queue_id queue;
  pool_id pool;
  work_kind kind = work_kind::batch;
  urgency priority = urgency::normal;
  std::int32_t tasks = 1;
  resources per_task;
  millis declared_runtime{60'000};  // Caller's estimate; unreliable, so used only for backfill.
  std::int32_t max_attempts = 3;    // Failed runs of a task before the job is given up.
  bool idempotent = true;           // A run that was lost may be repeated.
  std::string command;              // Opaque to the scheduler.
  std::string idempotency_key;      // Empty if the caller sent none.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, team, queue, pool, kind, priority, tasks, per_task, declared_runtime, max_attempts,
            idempotent, command, idempotency_key);
  }
};

// A range of consecutive tasks of one job that one failure domain has to run.
struct job_part {
  domain_id domain;
  std::int32_t first = 0;
  std::int32_t count = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, first, count);
  }
};

enum class task_phase : std::uint8_t { pending, running, succeeded, failed, cancelled };

std::string_view to_string(task_phase phase);

inline bool terminal(task_phase phase) {
  return phase >= task_phase::succeeded;
}

// The progress of one task. States form a lattice: a terminal phase takes precedence over all other
// phases, then the later attempt, then the later phase. Merging is commutative and idempotent, so
// records may be repeated or reordered.
struct task_state {
  task_phase phase = task_phase::pending;
  std::int32_t attempt = 1;
  worker_id worker;             // Worker that runs or ran the task; empty while pending.
  std::int32_t failures = 0;    // Runs that ended with an error.
  std::int64_t started_ms = 0;  // Unix time; 0 if not started.
  std::int64_t ended_ms = 0;    // Unix time; 0 if not ended.

  // Sets this state to the later of the two states. Returns true if it changed.
  bool merge(const task_state& other);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(phase, attempt, worker, failures, started_ms, ended_ms);
  }
};

// A job with the state of its tasks.
struct job {
  job_spec spec;
  std::vector<job_part> parts;
  std::vector<task_state> tasks;
  std::int64_t accepted_ms = 0;  // Unix time.
  bool cancelled = false;
  std::string unsatisfiable;  // Why the job can never run; empty if it can.

  bool finished() const;
  // The domain that has to run the task; empty if no part covers it.
  domain_id domain_of(std::int32_t index) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(spec, parts, tasks, accepted_ms, cancelled, unsatisfiable);
  }
};

}  // namespace monsoonmux
