// Looks keys up by their hash. The duration of the look-up depends on the hash alone,
// which tells an attacker nothing usable about a key; the final comparison takes constant
// time. A linear search with constant-time comparisons would cost one comparison for each
// key on every call, without a gain in security.

#include "config/key_ring.h"

#include <sodium.h>

#include <array>

namespace monsoonmux {
namespace {

constexpr std::size_t hash_bytes = 32;
constexpr std::size_t key_bytes = 32;

std::string to_hex(const unsigned char* bytes, std::size_t size) {
  std::string out(size * 2 + 1, '\0');
  sodium_bin2hex(out.data(), out.size(), bytes, size);
  out.pop_back();
  return out;
}

}  // namespace

std::string hash_key(const std::string& key) {
  std::array<unsigned char, hash_bytes> hash{};
  crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), nullptr, 0);
  return to_hex(hash.data(), hash.size());
}

std::string make_key() {
  std::array<unsigned char, key_bytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  return to_hex(bytes.data(), bytes.size());
}

bool equal_secrets(const std::string& a, const std::string& b) {
  return a.size() == b.size() && sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

key_ring::key_ring(const document& doc) {
  for (const auto& entry : doc.keys) {
    this->by_hash.emplace(entry.second.hash, entry.second);
  }
}

std::optional<team_id> key_ring::find(const std::string& key, std::int64_t wall_ms) const {
  const std::string hash = hash_key(key);
  const auto it = this->by_hash.find(hash);
  if (it == this->by_hash.end() || !equal_secrets(it->second.hash, hash)) {
    return std::nullopt;
  }
  if (it->second.expires_ms != 0 && it->second.expires_ms <= wall_ms) {
    return std::nullopt;
  }
  return it->second.team;
}

}  // namespace monsoonmux
