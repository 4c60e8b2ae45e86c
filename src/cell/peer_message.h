#pragma once

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "base/quantity.h"
#include "model/cell_record.h"

// What daemons say to each other, one message per datagram. All of it may be lost,
// come twice or out of order.
namespace monsoonmux::cell {

// To the owner: the sender is here and can ask for advice.
struct hello_message {
  std::int64_t backlog_ms = 0;  // Time until a new question would begin.
  domain_id domain;
  double relative_capacity = 0;  // Of its host; see host_limits.
  std::int64_t wall_ms = 0;      // Unix time by its clock; 0: it does not say.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->backlog_ms, this->domain, this->relative_capacity, this->wall_ms);
  }
};

// From the owner: ask the advice service about these runners.
struct advice_request_message {
  std::int64_t request = 0;
  std::string step;
  std::int64_t expected_ms = 0;  // What the call will take.
  std::vector<std::string> runners;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->step, this->expected_ms, this->runners);
  }
};

struct peer_ticket {
  std::string runner;
  std::string text;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->runner, this->text);
  }
};

struct advice_answer_message {
  std::int64_t request = 0;
  bool answered = false;  // False if the call failed.
  std::vector<peer_ticket> tickets;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->answered, this->tickets);
  }
};

// A job whose state in the log is new since the last beat.
struct job_phase_change {
  job_id job;
  job_phase phase = job_phase::queued;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->job, this->phase);
  }
};

// A daemon, where it listens, and what its host can carry.
struct known_peer {
  std::string daemon;
  std::string host;
  std::uint16_t port = 0;
  domain_id domain;
  double relative_capacity = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->daemon, this->host, this->port, this->domain, this->relative_capacity);
  }
};

// Where a daemon listens for its peers.
struct peer_address {
  std::string host;
  std::uint16_t port = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->port);
  }
};

// From the owner, while it reaches the log: it is alive, and what callers elsewhere
// should be told.
struct leader_heartbeat_message {
  epoch leader_epoch;
  // Daemons that follow the work; nothing while the owner has not chosen them yet.
  std::optional<std::vector<std::string>> standbys;
  std::vector<peer_address> standby_addresses;
  bool standbys_unchanged = false;  // They are those that it named last, and are left out here.
  std::vector<job_phase_change> phases;
  std::vector<known_peer> peers;  // All that it knows; in some of the beats to standbys.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->leader_epoch, this->standbys, this->standby_addresses, this->standbys_unchanged,
            this->phases, this->peers);
  }
};

// To the owner: write this record of a caller, whom the sender has let in.
struct store_request_message {
  std::int64_t request = 0;  // Of the sender; a repeat has the same.
  std::string record_key;
  std::string record_value;
  std::string host;
  std::string path;
  std::string caller_key;
  config_version version;  // Of the configuration under which the caller was let in.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->record_key, this->record_value, this->host, this->path,
            this->caller_key, this->version);
  }
};

// From the owner: the record is in the log, or was not and never will be written.
struct store_answer_message {
  std::int64_t request = 0;
  bool stored = false;
  error_code code = error_code::unavailable;  // Why it was not.
  std::string detail;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->stored, this->code, this->detail);
  }
};

// To a daemon that follows the work: in which phase is this job?
struct phase_request_message {
  std::int64_t request = 0;
  job_id job;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->job);
  }
};

// Sent only by a daemon whose knowledge is up to date.
struct phase_answer_message {
  std::int64_t request = 0;
  bool known = false;  // False: there is no such job.
  job_phase phase = job_phase::queued;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->known, this->phase);
  }
};

// To a daemon that follows the work: how many jobs of the queue have not begun?
struct pending_request_message {
  std::int64_t request = 0;
  queue_id queue;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->queue);
  }
};

struct pending_answer_message {
  std::int64_t request = 0;
  std::int64_t pending = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->pending);
  }
};

using peer_body = std::variant<hello_message, advice_request_message, advice_answer_message,
                               leader_heartbeat_message, store_request_message,
                               store_answer_message, phase_request_message, phase_answer_message,
                               pending_request_message, pending_answer_message>;

struct peer_message {
  std::string sender;
  peer_body body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->sender, this->body);
  }
};

std::string encode(const peer_message& message);
// Nothing if the bytes are not a message of this version.
std::optional<peer_message> decode_peer_message(const std::string& bytes);

}  // namespace monsoonmux::cell
