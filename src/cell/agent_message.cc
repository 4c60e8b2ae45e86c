#include "cell/agent_message.h"

#include "base/compact_archive.h"

namespace monsoonmux::cell {
namespace {

constexpr char format_version = 2;

}  // namespace

std::string encode(const command_batch& batch) {
  return encode_compact(format_version, batch);
}

std::string encode(const answer_batch& batch) {
  return encode_compact(format_version, batch);
}

std::optional<command_batch> decode_commands(const std::string& bytes) {
  return decode_compact<command_batch>(format_version, bytes);
}

std::optional<answer_batch> decode_answers(const std::string& bytes) {
  return decode_compact<answer_batch>(format_version, bytes);
}

}  // namespace monsoonmux::cell
