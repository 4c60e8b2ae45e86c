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

// A proposed change of configuration. It takes effect where its base version is
// the current one when log order reaches it, and nowhere else.
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

// The whole configuration once more, so that it outlives the log's retention.
struct config_refresh {
  config_version version;
  std::string text;
  std::vector<team_limit_version> limits;  // Keeps transfers valid for a new reader.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, text, limits);
  }
};

// A job that was accepted, or is written again before its record expires.
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

// What a placer learnt about its tasks since its last record.
struct task_updates {
  std::vector<task_update> updates;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(updates);
  }
};

// A worker that a domain's placer is about to use. A placer uses a worker only
// after this record is in the log, so that its successor knows whom to ask.
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

// The first record of a new placer. Once it is in the log, transfers by earlier
// placers of the domain that come later are void; once its writer has read it
// back, the writer knows every transfer that its predecessors made.
struct fencing_record {
  domain_id domain;
  epoch number;
  daemon_id placer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, number, placer);
  }
};

// Moves part of a team's upper limit from one domain to another. The donor
// debits itself before it appends this. `total` is all that `from` has given to
// `to` since the limit last changed, so a repeated record changes nothing.
struct budget_transfer {
  team_id team;
  domain_id from;
  domain_id to;
  resources total;
  config_version limit_version;
  epoch donor_epoch;
  bool refresh = false;  // A record that was valid before, written once more.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(team, from, to, total, limit_version, donor_epoch, refresh);
  }
};

using record =
    std::variant<config_patch, config_refresh, job_record, job_cancel, job_unsatisfiable,
                 task_updates, worker_joined, worker_left, fencing_record, budget_transfer>;

// One append: the records of one group commit. `writer`, `incarnation` and
// `sequence` name it, so that an append whose answer was lost can be repeated.
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

// The bytes of one log entry: a checksum and the envelope.
std::string encode(const envelope& value);

// Inverse of encode(). Fails with malformed_answer on bytes that no encode()
// made; never throws.
result<envelope> decode_envelope(const std::string& bytes);

}  // namespace monsoonmux
