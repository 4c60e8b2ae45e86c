#pragma once

#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "cell/frame_link.h"

namespace monsoonmux::cell {

// A frame_link over TCP. Each frame is preceded by its length, as 4 bytes in big-endian order.
class tcp_link final : public frame_link {
 public:
  // Uses an established connection.
  tcp_link(asio::ip::tcp::socket socket, frame_handlers on);
  // Opens a new connection to the peer.
  tcp_link(asio::io_context& io, const peer_address& to, frame_handlers on);
  ~tcp_link() override;
  tcp_link(const tcp_link&) = delete;
  tcp_link& operator=(const tcp_link&) = delete;

  void send(std::string frame) override;

 private:
  struct state;
  std::shared_ptr<state> self;
};

class tcp_dialer final : public frame_dialer {
 public:
  explicit tcp_dialer(asio::io_context& io) : io(io) {}
  std::unique_ptr<frame_link> dial(const peer_address& to, frame_handlers on) override;

 private:
  asio::io_context& io;
};

}  // namespace monsoonmux::cell
