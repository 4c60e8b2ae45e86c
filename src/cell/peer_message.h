#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonmux::cell {

// What daemons say to each other, one message per datagram. All of it may be lost.
enum class peer_kind : std::uint8_t {
  hello,           // To the owner: I am here and can ask for advice.
  advice_request,  // From the owner: ask about these runners.
  advice_answer,
};

struct peer_ticket {
  std::string runner;
  std::string text;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->runner, this->text);
  }
};

struct peer_message {
  peer_kind kind = peer_kind::hello;
  std::string sender;
  std::int64_t request = 0;          // Number of the request that is answered.
  std::int64_t backlog_ms = 0;       // hello: time until a new request would begin.
  std::string step;                  // advice_request.
  std::int64_t expected_ms = 0;      // advice_request: what the call will take.
  std::vector<std::string> runners;  // advice_request.
  bool answered = false;             // advice_answer: false if the call failed.
  std::vector<peer_ticket> tickets;  // advice_answer.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->sender, this->request, this->backlog_ms, this->step,
            this->expected_ms, this->runners, this->answered, this->tickets);
  }
};

std::string encode(const peer_message& message);
// Nothing if the bytes are not a message of this version.
std::optional<peer_message> decode_peer_message(const std::string& bytes);

}  // namespace monsoonmux::cell
