#pragma once

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "cell/runner_port.h"

// Messages between a leader and its agents, the daemons that forward its commands to
// runners. Each message is one frame of a connection.
namespace monsoonmux::cell {

using runner_command = std::variant<start_command, stop_command, poll_request>;

struct numbered_command {
  std::int64_t number = 0;  // Assigned by the leader; the answer carries the same number.
  runner_command command;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->command);
  }
};

// To an agent. An empty batch is a ping.
struct command_batch {
  // Time on the agent's clock after which none of the commands may be executed. A runner
  // that restarted in the meantime could not tell a late command from a new one.
  instant execute_until{0};
  std::vector<numbered_command> commands;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->execute_until, this->commands);
  }
};

struct numbered_answer {
  std::int64_t number = 0;
  std::variant<command_answer, poll_answer> answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->answer);
  }
};

// From an agent: answers in the order in which they arrived. An empty batch answers a ping.
struct answer_batch {
  instant agent_time{0};  // Agent's clock when the batch was sent.
  std::vector<numbered_answer> answers;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->agent_time, this->answers);
  }
};

std::string encode(const command_batch& batch);
// The same in fewer bytes, for a narrow link; decode_commands() reads both.
std::string encode_compressed(const command_batch& batch);
std::string encode(const answer_batch& batch);
// Returns nullopt if the bytes are not a batch of this format version.
std::optional<command_batch> decode_commands(const std::string& bytes);
std::optional<answer_batch> decode_answers(const std::string& bytes);

}  // namespace monsoonmux::cell
