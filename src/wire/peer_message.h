#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/quantity.h"
#include "base/resources.h"
#include "state/budget_request.h"

namespace monsoonmux {

// The state of one domain in which the sender is the placer; part of its heartbeat.
struct placement_info {
  domain_id domain;
  epoch number;
  bool ready = false;
  resources free;
  std::int64_t waiting = 0;  // Number of units.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, number, ready, free, waiting);
  }
};

// How many concurrent calls a daemon may have at one runner, or of one team. In a
// heartbeat: the number that the sender has adopted last.
struct slot_usage {
  std::string subject;  // A runner, or "team:" followed by a team.
  std::int32_t slots = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(subject, slots);
  }
};

// Reports to the other daemons that the sender is alive, how far it has applied the
// log, which slots it may use and in which domains it places.
struct heartbeat {
  domain_id domain;
  std::string http;  // "A.B.C.D:PORT"
  std::string peer;  // "A.B.C.D:PORT"
  bool draining = false;
  std::int64_t now = 0;  // The sender's monotonic clock, in ms.
  log_offset next;       // The next log entry it will apply.
  config_version version;
  epoch lease_placer;             // Placer of the newest slot lease adopted,
  std::int64_t lease_number = 0;  // and the number of that lease.
  std::vector<slot_usage> held;
  std::vector<placement_info> placing;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, http, peer, draining, now, next, version, lease_placer, lease_number, held,
            placing);
  }
};

// Sent by a domain's placer: the slots that the receiver may use until its own clock
// reaches `valid_until`. A lease with a larger number replaces an earlier one.
struct slot_lease {
  domain_id domain;
  std::int64_t receiver = 0;  // The receiver's incarnation; others ignore the lease.
  epoch placer;
  std::int64_t number = 0;
  std::int64_t valid_until = 0;  // On the receiver's monotonic clock, in ms.
  std::vector<slot_usage> slots;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, receiver, placer, number, valid_until, slots);
  }
};

// Requests log entries from an offset on, over TCP.
struct log_read_request {
  log_offset from;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from);
  }
};

struct log_read_entry {
  log_offset offset;
  std::string bytes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(offset, bytes);
  }
};

// The answer: consecutive entries, or a snapshot if the entries are no longer kept.
struct log_read_answer {
  std::vector<log_read_entry> entries;
  log_offset first_kept;
  log_offset end;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(entries, first_kept, end);
  }
};

using peer_body =
    std::variant<heartbeat, slot_lease, budget_request, log_read_request, log_read_answer>;

struct peer_message {
  daemon_id sender;
  std::int64_t incarnation = 0;  // Wall time at the sender's start, in ms.
  std::int64_t sequence = 0;     // Increases with every message of an incarnation.
  std::int64_t logical = 0;      // The sender's logical clock.
  peer_body body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, incarnation, sequence, logical, body);
  }
};

}  // namespace monsoonmux
