#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "config/document.h"

namespace monsoonmux {

// The hash under which a key is stored: BLAKE2b-256 in lower-case hex. Keys are
// 256 random bits made by make_key(), so that a plain hash resists guessing.
std::string hash_key(const std::string& key);

// A new random key of 64 hex digits.
std::string make_key();

// True if the texts are equal; takes the same time wherever they differ.
bool equal_secrets(const std::string& a, const std::string& b);

// Answers which team a key stands for, from one configuration document.
class key_ring {
 public:
  explicit key_ring(const document& doc);

  // The team of the key, or nothing if it is unknown, withdrawn or expired.
  std::optional<team_id> find(const std::string& key, std::int64_t wall_ms) const;

 private:
  std::unordered_map<std::string, key_config> by_hash;
};

}  // namespace monsoonmux
