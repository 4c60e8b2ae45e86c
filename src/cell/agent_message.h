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

// What an owner and the daemons that carry its orders to runners say to each other, in
// frames of one connection.
namespace monsoonmux::cell {

using runner_command = std::variant<start_command, stop_command, poll_request>;

struct numbered_command {
  std::int64_t number = 0;  // Of the owner's connection; its answer has the same.
  runner_command command;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->command);
  }
};

// To an agent. Without orders it only asks for a sign of life.
struct command_batch {
  // On the agent's clock; after it none of the orders may be carried out. A runner that
  // was reborn meanwhile could not tell such an order from a new one.
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

// From an agent: answers in the order in which they came, or only a sign of life.
struct answer_batch {
  instant agent_time{0};  // When the batch left.
  std::vector<numbered_answer> answers;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->agent_time, this->answers);
  }
};

std::string encode(const command_batch& batch);
std::string encode(const answer_batch& batch);
// Nothing if the bytes are not such a batch of this version.
std::optional<command_batch> decode_commands(const std::string& bytes);
std::optional<answer_batch> decode_answers(const std::string& bytes);

}  // namespace monsoonmux::cell
