#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cell/peer_message.h"

namespace monsoonmux::cell {

// Sends messages to other daemons. Any of them may be lost.
class peer_port {
 public:
  virtual ~peer_port() = default;
  virtual void send(const peer_message& message, const peer_address& to) = 0;
  // Sends the same message to each peer.
  virtual void send_to_all(const peer_message& message, const std::vector<peer_address>& to) {
    for (const peer_address& peer : to) {
      this->send(message, peer);
    }
  }
};

}  // namespace monsoonmux::cell
