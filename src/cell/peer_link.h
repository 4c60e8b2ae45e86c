#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "async/event_log.h"
#include "async/metric_registry.h"
#include "cell/peer_port.h"

namespace monsoonmux::cell {

// Sends and receives datagrams between daemons.
class peer_link final : public peer_port {
 public:
  // The others wait, so that a flood of datagrams does not keep the event loop from all else.
  static constexpr std::size_t max_datagrams_per_turn = 128;
  using handler = std::function<void(const peer_message&, const peer_address& from)>;

  // Throws std::runtime_error if the address cannot be bound.
  peer_link(asio::io_context& io, event_log& events, metric_registry& metrics,
            const std::string& address, std::uint16_t port, handler on_message);
  ~peer_link() override;
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  void send(const peer_message& message, const peer_address& to) override;
  void send_to_all(const peer_message& message, const std::vector<peer_address>& to) override;
  std::uint16_t port() const { return this->socket.local_endpoint().port(); }

 private:
  void receive();
  // Handles the datagrams that have arrived, up to max_datagrams_per_turn, and waits for more.
  void receive_all(const bool& is_alive);
  void handle(std::string_view datagram, const peer_address& from);
  void send_bytes(const std::string& bytes, const peer_address& to);
  void count_sent(const peer_message& message, std::size_t bytes);

  static constexpr std::size_t max_datagram = 16 * 1024;
  event_log& events;
  metric_registry& metrics;
  asio::ip::udp::socket socket;
  const handler on_message;
  std::array<char, max_datagram> buffer{};
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
