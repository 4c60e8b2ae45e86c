#include "cell/peer_link.h"

#include <array>
#include <stdexcept>

namespace monsoonmux::cell {
namespace {

// Of the IP and UDP headers of a datagram.
constexpr std::size_t header_bytes = 28;

// What the messages of each alternative of peer_body are counted as.
constexpr std::array<const char*, std::variant_size_v<peer_body>> counted_as = {
    "hellos",        "advice_requests", "advice_answers", "heartbeats",    "store_requests",
    "store_answers", "state_queries",   "state_answers",  "state_queries", "state_answers"};

}  // namespace

peer_link::peer_link(asio::io_context& io, event_log& out, metric_registry& registry,
                     const std::string& address, std::uint16_t port, handler receiver)
    : events(out), metrics(registry), socket(io), on_message(std::move(receiver)) {
  asio::error_code error;
  const asio::ip::udp::endpoint local(asio::ip::make_address(address, error), port);
  if (!error) {
    this->socket.open(asio::ip::udp::v4(), error);
  }
  if (!error) {
    this->socket.bind(local, error);
  }
  if (error) {
    throw std::runtime_error("cannot bind UDP " + address + ":" + std::to_string(port) + ": " +
                             error.message());
  }
  this->socket.non_blocking(true);
  this->receive();
}

peer_link::~peer_link() {
  *this->alive = false;
}

void peer_link::send(const peer_message& message, const peer_address& to) {
  const std::string bytes = encode(message);
  this->count_sent(message, bytes.size() + header_bytes);
  this->send_bytes(bytes, to);
}

void peer_link::send_to_all(const peer_message& message, const std::vector<peer_address>& to) {
  const std::string bytes = encode(message);
  this->count_sent(message, (bytes.size() + header_bytes) * to.size());
  for (const peer_address& peer : to) {
    this->send_bytes(bytes, peer);
  }
}

void peer_link::count_sent(const peer_message& message, std::size_t bytes) {
  this->metrics.count(std::string("bytes_sent_") + counted_as.at(message.body.index()),
                      static_cast<std::int64_t>(bytes));
}

void peer_link::send_bytes(const std::string& bytes, const peer_address& to) {
  asio::error_code error;
  const asio::ip::udp::endpoint peer(asio::ip::make_address(to.host, error), to.port);
  if (!error) {
    this->socket.send_to(asio::buffer(bytes), peer, 0, error);
  }
  if (error && error != asio::error::would_block) {
    this->events.write("datagram_not_sent", {{"to", to.host}, {"why", error.message()}});
  }
}

void peer_link::receive() {
  this->socket.async_receive_from(
      asio::buffer(this->buffer), this->from,
      [this, a = this->alive](asio::error_code error, std::size_t size) {
        if (!*a || error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          this->metrics.count("bytes_received_datagrams",
                              static_cast<std::int64_t>(size + header_bytes));
          const auto message = decode_peer_message(std::string(this->buffer.data(), size));
          if (message) {
            this->on_message(*message, {this->from.address().to_string(), this->from.port()});
          } else {
            this->events.write("datagram_unreadable",
                               {{"from", this->from.address().to_string()}, {"bytes", size}});
          }
        }
        this->receive();
      });
}

}  // namespace monsoonmux::cell
