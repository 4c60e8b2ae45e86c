#include "cell/peer_message.h"

#include <cereal/archives/binary.hpp>
#include <sstream>

namespace monsoonmux::cell {
namespace {

constexpr char format_version = 3;

}  // namespace

std::string encode(const peer_message& message) {
  std::ostringstream out;
  out.put(format_version);
  cereal::BinaryOutputArchive archive(out);
  archive(message);
  return out.str();
}

std::optional<peer_message> decode_peer_message(const std::string& bytes) {
  if (bytes.empty() || bytes.front() != format_version) {
    return std::nullopt;
  }
  try {
    std::istringstream in(bytes.substr(1));
    cereal::BinaryInputArchive archive(in);
    peer_message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;  // Any host may send a datagram to the port; the caller logs it.
  }
}

}  // namespace monsoonmux::cell
