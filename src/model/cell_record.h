#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/quantity.h"
#include "model/job_spec.h"
#include "model/lease_bounds.h"
#include "model/runner_contact.h"

// Records that the cell keeps in the shared log. Each record has a key and replaces the
// previous record of that key. The newest records of all keys are the complete state, and
// appending a record twice is harmless.
namespace monsoonmux::cell {

// A job as it was accepted. Any daemon may write it; it is never changed.
struct job_submission {
  job_id job;
  queue_id queue;
  pool_id pool;
  team_id team;                  // Empty for open queues.
  std::int64_t accepted_ms = 0;  // Unix time in ms.
  job_spec spec;
  // Of the queue, and of the configuration that it was accepted under; 0: not recorded. A leader
  // may not have that configuration yet, or not any more.
  std::int32_t max_attempts = 0;
  config_version accepted_under;

  // Without the last two, which are encoded behind the others only if they are set.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->job, this->queue, this->pool, this->team, this->accepted_ms, this->spec);
  }
};

enum class task_phase : std::uint8_t {
  waiting,  // No run of the task exists.
  placed,   // A start was decided; the task may run on `runner`.
  done,
};

// State of one task. A task about which nothing was decided yet has no entry.
struct task_progress {
  std::int32_t step = 0;
  std::int32_t index = 0;
  task_phase phase = task_phase::waiting;
  std::int32_t run = 0;       // Number of the latest start.
  std::int32_t failures = 0;  // Runs that ended as failed.
  // Of a waiting task: where its latest run was lost, while it is not known whether that crashed.
  std::string runner;
  std::int64_t runner_incarnation = 0;
  std::string checkpoint;
  std::int32_t crashes = 0;  // Runs under which the runner crashed.

  bool operator==(const task_progress&) const = default;
};

struct occurrence_progress {
  std::int32_t number = 0;
  std::vector<task_progress> tasks;

  // The tasks are archived in the format of progress_codec.h.
  template <class Archive>
  void save(Archive& archive) const {
    archive(this->number, this->packed_tasks());
  }
  template <class Archive>
  void load(Archive& archive) {
    std::string packed;
    archive(this->number, packed);
    this->unpack_tasks(packed);
  }

 private:
  std::string packed_tasks() const;
  void unpack_tasks(const std::string& packed);
};

// The latest run of a gang that counts as a crash, so that it counts once whichever of the runners
// of its members are found to have crashed, and by whatever leader.
struct counted_gang_crash {
  std::int32_t occurrence = 0;
  std::int32_t step = 0;
  std::int32_t run = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->occurrence, this->step, this->run);
  }
};

// Runs of neighbouring tasks of a lasting step, under one run number, that have lasted for so long
// that they are not the cause when their runners crash.
struct lasted_runs {
  std::int32_t occurrence = 0;
  std::int32_t step = 0;
  std::int32_t first = 0;  // Index of the first task.
  std::int32_t count = 0;
  std::int32_t run = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->occurrence, this->step, this->first, this->count, this->run);
  }
};

enum class job_phase : std::uint8_t { queued, running, completed, failed, cancelled };

inline bool is_final(job_phase phase) {
  return phase == job_phase::completed || phase == job_phase::failed ||
         phase == job_phase::cancelled;
}
std::string_view to_string(job_phase phase);

// Progress of a job. Written only by the leader, with its epoch.
struct job_progress {
  epoch leader_epoch;
  job_phase phase = job_phase::queued;
  bool ever_started = false;
  std::int32_t first_unfinished = 0;  // All occurrences below this number are done.
  std::vector<occurrence_progress> occurrences;
  // In force when the record was written, since the queue may be removed later; 0: not recorded.
  std::int32_t max_attempts = 0;
  std::vector<counted_gang_crash> gang_crashes;
  std::vector<lasted_runs> lasted;

  // Without the last three, which are encoded behind the others only if one of them is set, and the
  // last one behind the other two only if it is. Earlier builds do not read what they do not know.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->leader_epoch, this->phase, this->ever_started, this->first_unfinished,
            this->occurrences);
  }
};

// Statistics of the run times of one queue's tasks.
struct queue_run_time_stats {
  queue_id queue;
  double mean_ms = 0;
  double scale = 1;         // Mean ratio of measured to declared run time.
  double mean_error = 0;    // Mean absolute error of `mean_ms` as an estimate, in ms.
  double scaled_error = 0;  // The same for the declared run time times `scale`.
  std::int64_t count = 0;   // Number of tasks measured.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->queue, this->mean_ms, this->scale, this->mean_error, this->scaled_error,
            this->count);
  }
};

// Run time of one runner's tasks, as a multiple of what is usual for their queues.
struct runner_slowdown {
  std::string runner;
  double slowdown = 1;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->runner, this->slowdown);
  }
};

// Run-time statistics that a leader has collected, saved for the next leader.
struct run_time_stats {
  epoch leader_epoch;
  std::vector<queue_run_time_stats> queues;
  std::vector<runner_slowdown> runners;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->leader_epoch, this->queues, this->runners);
  }
};

// Names the daemon that is leader from an epoch on, and the address at which it listens
// for its peers.
struct leader_claim {
  epoch leader_epoch;
  daemon_id leader;
  // Distinguishes the claims of this process from those of the daemon's earlier
  // incarnations.
  std::uint64_t nonce = 0;
  std::string peer_address;
  std::uint16_t peer_port = 0;
  bool resigned = false;  // The leader is stopping; any daemon may claim at once.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->leader_epoch, this->leader, this->nonce, this->peer_address, this->peer_port,
            this->resigned);
  }
};

enum class record_kind : char {
  submission = 'j',
  cancellation = 'c',
  progress = 's',
  run_times = 't',  // One record for the whole cell, under run_times_id.
  contact = 'r',    // Under the runner's id in place of a job's.
};

// A record as stored in the log.
struct keyed_record {
  std::string key;
  std::string value;
};

// Takes the place of the job id in the key of the run-time statistics. No caller can
// choose it, since "-" is not allowed in a job id.
inline const job_id run_times_id{"-"};

std::string key_of(record_kind kind, const job_id& job);
std::string key_of_contact(const std::string& runner);
// The parts of a key.
struct parsed_key {
  record_kind kind;
  job_id job;
};
// Inverse of key_of(); empty if `key` has no known kind or no job id.
std::optional<parsed_key> parse_key(std::string_view key);

std::string encode(const job_submission& value);
std::string encode(const job_progress& value);
std::string encode(const run_time_stats& value);
std::string encode(const leader_claim& value);
std::string encode(const lease_bounds& value);
std::string encode(const runner_contact& value);
// Inverses of encode(); empty if the bytes are not a record of the type and of this format
// version.
std::optional<job_submission> decode_submission(const std::string& bytes);
std::optional<job_progress> decode_progress(const std::string& bytes);
std::optional<run_time_stats> decode_run_time_stats(const std::string& bytes);
std::optional<leader_claim> decode_claim(const std::string& bytes);
std::optional<lease_bounds> decode_lease_bounds(const std::string& bytes);
std::optional<runner_contact> decode_runner_contact(const std::string& bytes);

}  // namespace monsoonmux::cell
