#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "base/resources.h"

namespace monsoonmux {

// The largest configuration document accepted, in bytes of JSON text.
constexpr std::size_t max_document_bytes = 256 * 1024;

// Most resources and calls that a team may use at once in the whole cell.
struct team_limit {
  resources tasks;
  std::int64_t calls = 0;  // Calls in progress.

  bool operator==(const team_limit&) const = default;
};

struct team_config {
  std::int64_t share = 1;  // Weight of the team when teams compete for a full cell.
  team_limit limit;
};

struct key_config {
  team_id team;
  std::string hash;             // Lower-case hex, see hash_key().
  std::int64_t expires_ms = 0;  // Unix time; 0 never expires.
};

enum class queue_kind { calls, jobs };

struct queue_config {
  queue_kind kind = queue_kind::jobs;
  pool_id pool;
  bool open = false;           // Anyone may use the queue, without a key.
  std::set<team_id> teams;     // Teams that may use the queue; empty: all.
  team_id open_team;           // Team that is charged for work without a key.
  millis deadline{10'000};     // Default and upper bound for a call.
  std::int64_t waiting = 256;  // Most calls that may wait, per team and daemon.
};

struct domain_config {
  // Workers whose leases decide which daemon places in this domain; an odd number.
  std::vector<worker_id> electors;
};

// The validated configuration of the whole cell. Created only by parse().
//
//   auto parsed = document::parse(text);
//   if (parsed.has_error()) { report(parsed.error().detail); }
//
// A document lists teams, keys, queues and domains; docs/API.md gives the
// members. Unknown members, wrong types and references to names that the document
// does not define are rejected with the JSON pointer of the value.
struct document {
  std::map<team_id, team_config> teams;
  std::map<key_id, key_config> keys;
  std::map<queue_id, queue_config> queues;
  std::map<domain_id, domain_config> domains;

  static result<document> parse(const std::string& json_text);
};

// Applies an RFC 7396 merge patch and checks the complete result. Returns the
// patched document's JSON text, or bad_request with the reason. Deterministic:
// daemons that apply the same patch to the same text get the same result.
result<std::string> patch_document(const std::string& json_text, const std::string& patch_text);

}  // namespace monsoonmux
