#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "async/event_log.h"
#include "base/clock.h"
#include "cell/event_loop.h"
#include "cell/runner_agent.h"
#include "cell/tcp_link.h"
#include "cell/timer.h"

namespace monsoonmux::cell {

// Accepts connections of leaders for this daemon's runner agent. A leader pings an agent
// every 200 ms if there is no other traffic, so a connection that stays idle is dead and is
// closed.
class agent_listener {
 public:
  // Throws std::runtime_error if the address cannot be bound.
  agent_listener(asio::io_context& io, event_loop& loop, const clock& time, event_log& events,
                 runner_agent& agent, const std::string& address, std::uint16_t port);
  // Closes all connections. The agent must still exist.
  ~agent_listener();
  agent_listener(const agent_listener&) = delete;
  agent_listener& operator=(const agent_listener&) = delete;

 private:
  struct connection {
    std::unique_ptr<tcp_link> link;
    instant last_received{0};
  };

  void accept();
  void accepted(asio::ip::tcp::socket socket);
  void received(std::int64_t number, const std::string& frame);
  void close(std::int64_t number);
  void tick();

  const clock& time;
  event_log& events;
  runner_agent& agent;
  asio::ip::tcp::acceptor acceptor;
  timer ticker;
  timer next_accept;
  std::map<std::int64_t, connection> connections;
  std::vector<connection> closed;  // Destroyed later: their handlers may be on the stack.
  std::int64_t next_number = 1;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
