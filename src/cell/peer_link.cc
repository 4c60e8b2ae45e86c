#include "cell/peer_link.h"

#include <array>
#include <stdexcept>

namespace monsoonmux::cell {
namespace {

// Of the IP and UDP headers of a datagram.
constexpr std::size_t header_bytes = 28;

// For what arrives during a long turn of the event loop. The system may grant less.
constexpr int receive_buffer_bytes = 2 << 20;

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
  // Without this option the link still works, but loses more datagrams that come together.
  asio::error_code ignored;
  this->socket.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
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
  this->socket.async_wait(asio::ip::udp::socket::wait_read,
                          [this, a = this->alive](asio::error_code error) {
                            if (!*a || error == asio::error::operation_aborted) {
                              return;
                            }
                            this->receive_all(*a);
                          });
}

// One datagram a turn of the event loop would be too few: on a busy leader a turn takes tens of
// milliseconds, and answers would wait until they count as lost.
void peer_link::receive_all(const bool& is_alive) {
  for (std::size_t i = 0; i < max_datagrams_per_turn; ++i) {
    asio::error_code error;
    asio::ip::udp::endpoint from;
    const std::size_t size = this->socket.receive_from(asio::buffer(this->buffer), from, 0, error);
    if (error == asio::error::would_block) {
      break;
    }
    if (!error) {
      this->handle({this->buffer.data(), size}, {from.address().to_string(), from.port()});
    }
    if (!is_alive) {
      return;
    }
  }
  this->receive();
}

void peer_link::handle(std::string_view datagram, const peer_address& from) {
  this->metrics.count("bytes_received_datagrams",
                      static_cast<std::int64_t>(datagram.size() + header_bytes));
  const auto message = decode_peer_message(std::string(datagram));
  if (!message) {
    this->events.write("datagram_unreadable", {{"from", from.host}, {"bytes", datagram.size()}});
    return;
  }
  this->on_message(*message, from);
}

}  // namespace monsoonmux::cell
