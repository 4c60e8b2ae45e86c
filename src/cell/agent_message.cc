#include "cell/agent_message.h"

#include "async/deflate.h"
#include "base/compact_archive.h"

namespace monsoonmux::cell {
namespace {

constexpr char format_version = 2;
// Takes the place of the version; the compressed bytes begin with the version.
constexpr char compressed = 'z';
constexpr std::size_t max_batch_bytes = 16 << 20;

}  // namespace

std::string encode(const command_batch& batch) {
  return encode_compact(format_version, batch);
}

std::string encode_compressed(const command_batch& batch) {
  return compressed + deflate_bytes(encode(batch));
}

std::string encode(const answer_batch& batch) {
  return encode_compact(format_version, batch);
}

std::optional<command_batch> decode_commands(const std::string& bytes) {
  if (!bytes.empty() && bytes.front() == compressed) {
    const auto plain = inflate_bytes(std::string_view(bytes).substr(1), max_batch_bytes);
    return plain ? decode_compact<command_batch>(format_version, *plain) : std::nullopt;
  }
  return decode_compact<command_batch>(format_version, bytes);
}

std::optional<answer_batch> decode_answers(const std::string& bytes) {
  return decode_compact<answer_batch>(format_version, bytes);
}

}  // namespace monsoonmux::cell
