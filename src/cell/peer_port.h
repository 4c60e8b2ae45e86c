#pragma once

#include <cstdint>
#include <string>

#include "cell/peer_message.h"

namespace monsoonmux::cell {

// Where a daemon listens for its peers.
struct peer_address {
  std::string host;
  std::uint16_t port = 0;
};

// Sends messages to other daemons. Any of them may be lost.
class peer_port {
 public:
  virtual ~peer_port() = default;
  virtual void send(const peer_message& message, const peer_address& to) = 0;
};

}  // namespace monsoonmux::cell
