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

// Messages between daemons, one per datagram. Any message may be lost, duplicated or
// reordered.
namespace monsoonmux::cell {

// To the leader: the sender is up and can call the advice service.
struct hello_message {
  std::int64_t backlog_ms = 0;  // Time until a new advice call would begin.
  domain_id domain;
  double relative_capacity = 0;  // Of its host; see host_limits.
  std::int64_t wall_ms = 0;      // Unix time on its clock; 0 if not stated.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->backlog_ms, this->domain, this->relative_capacity, this->wall_ms);
  }
};

// From the leader: call the advice service about these runners.
struct advice_request_message {
  std::int64_t request = 0;
  std::string step;
  std::int64_t expected_ms = 0;  // Expected duration of the call.
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

// A job whose phase in the log has changed since the last heartbeat.
struct job_phase_change {
  job_id job;
  job_phase phase = job_phase::queued;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->job, this->phase);
  }
};

// A daemon, its address, and the capacity of its host for control-plane work.
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

// Address on which a daemon listens for its peers.
struct peer_address {
  std::string host;
  std::uint16_t port = 0;

  bool operator==(const peer_address&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->port);
  }
};

// From the leader, as long as it can reach the log: shows that it is alive, and carries the
// job phases that other daemons report to callers.
struct leader_heartbeat_message {
  epoch leader_epoch;
  // Daemons that follow the work topic; nullopt while the leader has not chosen them yet.
  std::optional<std::vector<std::string>> standbys;
  std::vector<peer_address> standby_addresses;
  bool standbys_unchanged = false;  // Same as listed last, and therefore omitted here.
  std::vector<job_phase_change> phases;
  // Peers that the leader knows; only in some of the heartbeats to standbys.
  std::vector<known_peer> peers;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->leader_epoch, this->standbys, this->standby_addresses, this->standbys_unchanged,
            this->phases, this->peers);
  }
};

// To the leader: store this record of a caller, whom the sender has authorized.
struct store_request_message {
  std::int64_t request = 0;  // Numbered by the sender; a repeat has the same number.
  std::string record_key;
  std::string record_value;
  std::string host;
  std::string path;
  std::string caller_key;
  config_version version;  // Configuration under which the caller was authorized.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->record_key, this->record_value, this->host, this->path,
            this->caller_key, this->version);
  }
};

// From the leader: the record is in the log, or was not written and never will be.
struct store_answer_message {
  std::int64_t request = 0;
  bool stored = false;
  error_code code = error_code::unavailable;  // Why the record was not stored.
  std::string detail;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->stored, this->code, this->detail);
  }
};

// To a daemon that follows the work topic: in which phase is this job?
struct phase_request_message {
  std::int64_t request = 0;
  job_id job;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->job);
  }
};

// Sent only by a daemon whose job table is up to date.
struct phase_answer_message {
  std::int64_t request = 0;
  bool known = false;  // False if there is no such job.
  job_phase phase = job_phase::queued;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->known, this->phase);
  }
};

// To a daemon that follows the work topic: how many jobs of the queue have not started?
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
// Returns nullopt if the bytes are not a message of this format version.
std::optional<peer_message> decode_peer_message(const std::string& bytes);

}  // namespace monsoonmux::cell
