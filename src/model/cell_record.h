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

// Records that the cell keeps in the shared log. Every record stands under a key
// and replaces the one before it, so the newest record of each key is the whole
// state and a record may be appended twice without harm.
namespace monsoonmux::cell {

// A job as it was accepted. Written by any daemon; never changes.
struct job_submission {
  job_id job;
  queue_id queue;
  pool_id pool;
  team_id team;                  // Empty on open queues.
  std::int64_t accepted_ms = 0;  // Unix time in ms.
  job_spec spec;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->job, this->queue, this->pool, this->team, this->accepted_ms, this->spec);
  }
};

enum class task_phase : std::uint8_t {
  waiting,  // Nothing of it runs anywhere.
  placed,   // A start was decided; it may run on `runner`.
  done,
};

// One task, if anything was ever decided about it.
struct task_progress {
  std::int32_t step = 0;
  std::int32_t index = 0;
  task_phase phase = task_phase::waiting;
  std::int32_t run = 0;       // Number of its latest start.
  std::int32_t failures = 0;  // Runs that ended as failed.
  std::string runner;
  std::int64_t runner_incarnation = 0;
  std::string checkpoint;

  bool operator==(const task_progress&) const = default;
};

struct occurrence_progress {
  std::int32_t number = 0;
  std::vector<task_progress> tasks;

  // In the form of progress_codec.h.
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

enum class job_phase : std::uint8_t { queued, running, completed, failed, cancelled };

inline bool is_final(job_phase phase) {
  return phase == job_phase::completed || phase == job_phase::failed ||
         phase == job_phase::cancelled;
}
std::string_view to_string(job_phase phase);

// How far a job is. Written by the owner only, under its epoch.
struct job_progress {
  epoch leader_epoch;
  job_phase phase = job_phase::queued;
  bool ever_started = false;
  std::int32_t first_unfinished = 0;  // All occurrences below this number are done.
  std::vector<occurrence_progress> occurrences;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->leader_epoch, this->phase, this->ever_started, this->first_unfinished,
            this->occurrences);
  }
};

// How long the tasks of one queue took.
struct queue_run_time_stats {
  queue_id queue;
  double mean_ms = 0;
  double scale = 1;         // Mean of the time taken over the time declared.
  double mean_error = 0;    // Mean distance of the time taken from `mean_ms`, in ms.
  double scaled_error = 0;  // The same from the declared time times `scale`.
  std::int64_t count = 0;   // Of the tasks that these are made from.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->queue, this->mean_ms, this->scale, this->mean_error, this->scaled_error,
            this->count);
  }
};

// Time of one runner's tasks over what is usual for their queues.
struct runner_slowdown {
  std::string runner;
  double slowdown = 1;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->runner, this->slowdown);
  }
};

// What an owner has learned of run times, for its successor.
struct run_time_stats {
  epoch leader_epoch;
  std::vector<queue_run_time_stats> queues;
  std::vector<runner_slowdown> runners;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->leader_epoch, this->queues, this->runners);
  }
};

// Who gives orders, from which epoch on, and where it listens for its peers.
struct leader_claim {
  epoch leader_epoch;
  daemon_id leader;
  std::uint64_t nonce = 0;  // Tells this process's claims from a former life's.
  std::string peer_address;
  std::uint16_t peer_port = 0;
  bool resigned = false;  // The owner stops; anybody may claim at once.

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
};

// A record as the log keeps it.
struct keyed_record {
  std::string key;
  std::string value;
};

// Stands in the place of a job in the key of the run times' record. No caller can
// choose it: its sign is not allowed in the id of a job.
inline const job_id run_times_id{"-"};

std::string key_of(record_kind kind, const job_id& job);
// The kind and job that a key names; nothing if it is not one of ours.
struct parsed_key {
  record_kind kind;
  job_id job;
};
std::optional<parsed_key> parse_key(std::string_view key);

std::string encode(const job_submission& value);
std::string encode(const job_progress& value);
std::string encode(const run_time_stats& value);
std::string encode(const leader_claim& value);
// Nothing if the bytes are not such a record of this version.
std::optional<job_submission> decode_submission(const std::string& bytes);
std::optional<job_progress> decode_progress(const std::string& bytes);
std::optional<run_time_stats> decode_run_time_stats(const std::string& bytes);
std::optional<leader_claim> decode_claim(const std::string& bytes);

}  // namespace monsoonmux::cell
