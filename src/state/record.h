#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "config/document.h"
#include "state/job.h"

namespace monsoonmux {

// A proposed change of the configuration. It takes effect if and only if its base version is the
// current version when the record is applied in log order.
struct config_patch {
  config_version base;
  std::string patch;  // RFC 7396 merge patch.
  std::string author;
  std::int64_t wall_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(base, patch, author, wall_ms);
  }
};

// The version at which a team's upper limit last changed.
struct team_limit_version {
  team_id team;
  config_version version;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(team, version);
  }
};

// The complete current configuration, written to the log again before the records that define it
// expire by the log's retention.
struct config_refresh {
  config_version version;
  std::string text;
  std::vector<team_limit_version> limits;  // A new reader needs them to accept budget transfers.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, text, limits);
  }
};

// A newly accepted job, or the current state of a job, written again before its last record expires
// by the log's retention.
struct job_record {
  job value;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

struct job_cancel {
  job_id id;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

struct job_unsatisfiable {
  job_id id;
  std::string reason;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, reason);
  }
};

struct task_update {
  task_id id;
  task_state state;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, state);
  }
};

// The changes of task states that a placer has observed since its last task_updates record.
struct task_updates {
  std::vector<task_update> updates;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(updates);
  }
};

// Announces that the placer of a domain is about to use a worker. A placer uses a worker only after
// this record is in the log, so that the next placer knows which workers to ask for running tasks.
struct worker_joined {
  worker_id worker;
  domain_id domain;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, domain);
  }
};

struct worker_left {
  worker_id worker;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker);
  }
};

// The first record of a new placer. Transfers by earlier placers of the domain that follow this
// record in the log are void. Once the writer has read the record back, it knows every valid
// transfer of its predecessors.
struct fencing_record {
  domain_id domain;
  epoch number;
  daemon_id placer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, number, placer);
  }
};

// Transfers part of a team's upper limit from one domain to another. The donor reduces its own
// budget share before it appends this record. `total` is the sum of all that `from` has transferred
// to `to` since the limit last changed, so a repeated record changes nothing.
struct budget_transfer {
  team_id team;
  domain_id from;
  domain_id to;
  resources total;
  config_version limit_version;
  epoch donor_epoch;
  bool refresh = false;  // Repeats a transfer that has already been applied as valid.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(team, from, to, total, limit_version, donor_epoch, refresh);
  }
};

using record =
    std::variant<config_patch, config_refresh, job_record, job_cancel, job_unsatisfiable,
                 task_updates, worker_joined, worker_left, fencing_record, budget_transfer>;

// One append to the log: the records of one group commit. `writer`, `incarnation` and `sequence`
// identify it, so that an append whose answer was lost can be repeated.
struct envelope {
  daemon_id writer;
  std::int64_t incarnation = 0;
  std::int64_t sequence = 0;
  std::vector<record> records;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(writer, incarnation, sequence, records);
  }
};

// Returns the bytes of one log entry: a magic number, a checksum and the envelope.
std::string encode(const envelope& value);

// Inverse of encode(). Fails with malformed_answer on bytes that were not produced by encode();
// never throws.
result<envelope> decode_envelope(const std::string& bytes);

}  // namespace monsoonmux
