// Codes log entries with cereal's portable binary archive behind a checksum.
// The checksum comes first because the archive trusts lengths: bytes that fail
// it are never shown to the archive, which bounds what foreign bytes can do.

#include "state/record.h"

#include <xxhash.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <sstream>

namespace monsoonmux {
namespace {

constexpr char magic[] = {'M', 'X', '0', '1'};
constexpr std::size_t head_bytes = sizeof(magic) + sizeof(XXH64_canonical_t);

XXH64_canonical_t checksum(const std::string& body) {
  XXH64_canonical_t out;
  XXH64_canonicalFromHash(&out, XXH64(body.data(), body.size(), 0));
  return out;
}

}  // namespace

std::string encode(const envelope& value) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
  }
  const std::string body = stream.str();
  const XXH64_canonical_t sum = checksum(body);
  std::string out(magic, sizeof(magic));
  out.append(reinterpret_cast<const char*>(sum.digest), sizeof(sum.digest));
  return out + body;
}

result<envelope> decode_envelope(const std::string& bytes) {
  const failure bad = not_run(error_code::malformed_answer, "not a log entry of this system");
  if (bytes.size() < head_bytes || std::memcmp(bytes.data(), magic, sizeof(magic)) != 0) {
    return bad;
  }
  const std::string body = bytes.substr(head_bytes);
  const XXH64_canonical_t sum = checksum(body);
  if (std::memcmp(bytes.data() + sizeof(magic), sum.digest, sizeof(sum.digest)) != 0) {
    return bad;
  }
  try {
    std::istringstream stream(body);
    cereal::PortableBinaryInputArchive archive(stream);
    envelope out;
    archive(out);
    return out;
  } catch (const std::exception&) {
    return bad;
  }
}

}  // namespace monsoonmux
