// Encodes log entries with cereal's portable binary archive, preceded by a magic number and a
// checksum. The archive trusts the lengths in its input, so bytes are decoded only after they have
// passed the checksum. This limits the harm that foreign or damaged bytes can do.

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
constexpr std::size_t header_bytes = sizeof(magic) + sizeof(XXH64_canonical_t);

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
  const failure bad = not_run(error_code::malformed_answer, "not a valid log entry");
  if (bytes.size() < header_bytes || std::memcmp(bytes.data(), magic, sizeof(magic)) != 0) {
    return bad;
  }
  const std::string body = bytes.substr(header_bytes);
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
