#include "cell/peer_message.h"

#include "base/compact_archive.h"

namespace monsoonmux::cell {
namespace {

constexpr char format_version = 4;

}  // namespace

std::string encode(const peer_message& message) {
  return encode_compact(format_version, message);
}

std::optional<peer_message> decode_peer_message(const std::string& bytes) {
  return decode_compact<peer_message>(format_version, bytes);
}

}  // namespace monsoonmux::cell
