#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "config/document.h"

namespace monsoonmux {

// The hash under which a key is stored: BLAKE2b-256 in lower-case hex. A key has 256
// random bits, see make_key(), so a hash without salt resists guessing.
std::string hash_key(const std::string& key);

// A new random key of 64 hex digits.
std::string make_key();

// True if the strings are equal. The duration does not depend on where they differ.
bool equal_secrets(const std::string& a, const std::string& b);

// Maps the keys of one configuration document to their teams.
class key_ring {
 public:
  explicit key_ring(const document& doc);

  // The team of the key; empty if the key is unknown, withdrawn or expired.
  std::optional<team_id> find(const std::string& key, std::int64_t wall_ms) const;

 private:
  std::unordered_map<std::string, key_config> by_hash;
};

}  // namespace monsoonmux
