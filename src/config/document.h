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

// The most that a team may have running at once in the whole fleet.
struct team_limit {
  resources tasks;
  std::int64_t calls = 0;  // Calls in progress.

  bool operator==(const team_limit&) const = default;
};

struct team_config {
  std::int64_t share = 1;  // Weight when the cell is full.
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
  bool open = false;           // Anyone may use it, without a key.
  std::set<team_id> teams;     // Teams that may use it; empty means all.
  team_id open_team;           // Whom work without a key is charged to.
  millis deadline{10'000};     // Default and upper bound for a call.
  std::int64_t waiting = 256;  // Calls that may wait per team and daemon.
};

struct domain_config {
  // Workers whose leases decide who places in this domain; an odd number.
  std::vector<worker_id> electors;
};

// The configuration of the whole cell, checked. Built only by parse().
//
//   auto parsed = document::parse(text);
//   if (parsed.has_error()) { report(parsed.error().detail); }
//
// A document lists teams, keys, queues and domains; docs/API.md gives the
// members. Unknown members, wrong types and references to things that the
// document does not define are refused with the JSON pointer of the place.
struct document {
  std::map<team_id, team_config> teams;
  std::map<key_id, key_config> keys;
  std::map<queue_id, queue_config> queues;
  std::map<domain_id, domain_config> domains;

  static result<document> parse(const std::string& json_text);
};

// Applies an RFC 7396 merge patch and checks the whole outcome. Returns the
// patched document's JSON text, or bad_request with the reason. Deterministic:
// every daemon that applies the same patch to the same text agrees.
result<std::string> patch_document(const std::string& json_text, const std::string& patch_text);

}  // namespace monsoonmux
