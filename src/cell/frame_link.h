#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cell/peer_port.h"

namespace monsoonmux::cell {

// One connection between two daemons. Frames arrive complete and in order until the
// connection is lost; then frames in flight may be lost, and none arrives any more.
class frame_link {
 public:
  virtual ~frame_link() = default;
  virtual void send(std::string frame) = 0;
};

struct frame_handlers {
  std::function<void(std::string frame)> on_frame;
  // Called once, and never from inside send(): the peer closed the connection, or cannot be
  // reached.
  std::function<void()> on_disconnect;
};

// Opens connections to other daemons.
class frame_dialer {
 public:
  virtual ~frame_dialer() = default;
  // Frames may be sent at once; they are queued until the connection is established.
  // Destroying the link closes the connection, and its handlers are not called after that.
  virtual std::unique_ptr<frame_link> dial(const peer_address& to, frame_handlers on) = 0;
};

}  // namespace monsoonmux::cell
