#include "cell/agent_listener.h"

#include <stdexcept>

namespace monsoonmux::cell {
namespace {

using asio::ip::tcp;

constexpr millis tick_interval{1'000};
// A connection on which no frame arrived for this long is closed.
constexpr millis idle_timeout{5'000};
// Delay after a failed accept, for example when file descriptors are exhausted.
constexpr millis accept_retry{200};

}  // namespace

agent_listener::agent_listener(asio::io_context& io, event_loop& loop, const clock& now,
                               event_log& out, runner_agent& served, const std::string& address,
                               std::uint16_t port)
    : time(now), events(out), agent(served), acceptor(io), ticker(loop), next_accept(loop) {
  asio::error_code error;
  const tcp::endpoint local(asio::ip::make_address(address, error), port);
  if (!error) {
    this->acceptor.open(tcp::v4(), error);
  }
  if (!error) {
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(local, error);
  }
  if (!error) {
    this->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    throw std::runtime_error("cannot listen on TCP " + address + ":" + std::to_string(port) + ": " +
                             error.message());
  }
  this->accept();
  this->tick();
}

agent_listener::~agent_listener() {
  for (const auto& [number, c] : this->connections) {
    this->agent.closed(number);
  }
}

void agent_listener::accept() {
  this->acceptor.async_accept(
      [this, still_alive = std::weak_ptr(this->alive)](asio::error_code error, tcp::socket socket) {
        if (still_alive.expired() || error == asio::error::operation_aborted) {
          return;
        }
        if (error) {
          this->events.write("accept_failed", {{"why", error.message()}});
          this->next_accept.start(accept_retry, [this] { this->accept(); });
          return;
        }
        this->accepted(std::move(socket));
        this->accept();
      });
}

void agent_listener::accepted(tcp::socket socket) {
  const std::int64_t number = this->next_number++;
  connection& c = this->connections[number];
  c.last_received = this->time.now();
  c.link = std::make_unique<tcp_link>(
      std::move(socket),
      frame_handlers{[this, number](const std::string& frame) { this->received(number, frame); },
                     [this, number] { this->close(number); }});
  this->agent.opened(number, *c.link);
}

void agent_listener::received(std::int64_t number, const std::string& frame) {
  const auto it = this->connections.find(number);
  if (it == this->connections.end()) {
    return;
  }
  it->second.last_received = this->time.now();
  if (!this->agent.received(number, frame)) {
    this->close(number);
  }
}

void agent_listener::close(std::int64_t number) {
  const auto it = this->connections.find(number);
  if (it == this->connections.end()) {
    return;
  }
  this->agent.closed(number);
  this->closed.push_back(std::move(it->second));
  this->connections.erase(it);
}

void agent_listener::tick() {
  this->ticker.start(tick_interval, [this] { this->tick(); });
  this->closed.clear();
  std::vector<std::int64_t> idle;
  for (const auto& [number, c] : this->connections) {
    if (this->time.now() - c.last_received >= idle_timeout) {
      idle.push_back(number);
    }
  }
  for (const std::int64_t number : idle) {
    this->close(number);
  }
}

}  // namespace monsoonmux::cell
