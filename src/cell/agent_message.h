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

using runner_order = std::variant<start_command, stop_command, poll_request>;

struct numbered_order {
  std::int64_t number = 0;  // Of the owner's connection; its answer has the same.
  runner_order order;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->order);
  }
};

// To an agent. Without orders it only asks for a sign of life.
struct order_batch {
  // On the agent's clock; after it none of the orders may be carried out. A runner that
  // was reborn meanwhile could not tell such an order from a new one.
  instant carry_until{0};
  std::vector<numbered_order> orders;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->carry_until, this->orders);
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

std::string encode(const order_batch& batch);
std::string encode(const answer_batch& batch);
// Nothing if the bytes are not such a batch of this version.
std::optional<order_batch> decode_orders(const std::string& bytes);
std::optional<answer_batch> decode_answers(const std::string& bytes);

}  // namespace monsoonmux::cell
