#include "cell/agent_message.h"

#include <cereal/archives/binary.hpp>
#include <sstream>

namespace monsoonmux::cell {
namespace {

constexpr char format_version = 1;

template <class Batch>
std::string encode_batch(const Batch& batch) {
  std::ostringstream out;
  out.put(format_version);
  cereal::BinaryOutputArchive archive(out);
  archive(batch);
  return out.str();
}

template <class Batch>
std::optional<Batch> decode_batch(const std::string& bytes) {
  if (bytes.empty() || bytes.front() != format_version) {
    return std::nullopt;
  }
  try {
    std::istringstream in(bytes.substr(1));
    cereal::BinaryInputArchive archive(in);
    Batch batch;
    archive(batch);
    return batch;
  } catch (const std::exception&) {
    return std::nullopt;  // The caller logs it and closes the connection.
  }
}

}  // namespace

std::string encode(const command_batch& batch) {
  return encode_batch(batch);
}

std::string encode(const answer_batch& batch) {
  return encode_batch(batch);
}

std::optional<command_batch> decode_commands(const std::string& bytes) {
  return decode_batch<command_batch>(bytes);
}

std::optional<answer_batch> decode_answers(const std::string& bytes) {
  return decode_batch<answer_batch>(bytes);
}

}  // namespace monsoonmux::cell
