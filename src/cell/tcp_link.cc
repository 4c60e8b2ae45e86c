// Frames sent while a write is in progress are coalesced into the next write, and one read takes
// all frames that have arrived, so a busy link makes few system calls. Handlers that are still in
// the event loop share ownership of the state, so destroying the link only closes the state.

#include "cell/tcp_link.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <string_view>
#include <utility>

namespace monsoonmux::cell {
namespace {

using asio::ip::tcp;

constexpr std::size_t header_bytes = 4;
constexpr std::size_t max_frame_bytes = 16 << 20;
// Most bytes that one read takes; most frames are far smaller.
constexpr std::size_t bytes_per_read = 64 << 10;
// The connection is closed when this many bytes are queued for a peer that does not read.
constexpr std::size_t max_queued_bytes = 32 << 20;
// A connection is dead when sent bytes stay unacknowledged for this long (TCP_USER_TIMEOUT).
constexpr unsigned user_timeout_ms = 1'500;

constexpr unsigned byte_bits = 8;

void append_frame(std::string& out, const std::string& frame) {
  for (std::size_t i = header_bytes; i-- > 0;) {
    out.push_back(static_cast<char>((frame.size() >> (byte_bits * i)) & 0xffU));
  }
  out += frame;
}

// The size of the frame whose header `bytes` begin with.
std::size_t frame_size(std::string_view bytes) {
  std::size_t size = 0;
  for (const char byte : bytes.substr(0, header_bytes)) {
    size = (size << byte_bits) | static_cast<unsigned char>(byte);
  }
  return size;
}

}  // namespace

struct tcp_link::state : std::enable_shared_from_this<tcp_link::state> {
  state(tcp::socket given, frame_handlers callbacks)
      : socket(std::move(given)), on(std::move(callbacks)) {}

  tcp::socket socket;
  frame_handlers on;
  std::array<char, bytes_per_read> incoming{};
  std::string unhandled;  // Received, but not a complete frame yet.
  std::string queued;
  std::string in_flight;
  bool connected = false;
  bool writing = false;
  bool closed = false;

  void start() {
    if (this->closed) {
      return;
    }
    asio::error_code ignored;  // Without these options the link still works, only slower.
    this->socket.set_option(tcp::no_delay(true), ignored);
    setsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof(user_timeout_ms));
    this->connected = true;
    this->read();
    this->write();
  }

  void read() {
    this->socket.async_read_some(
        asio::buffer(this->incoming),
        [s = this->shared_from_this()](asio::error_code error, std::size_t size) {
          if (error) {
            s->disconnected();
            return;
          }
          s->unhandled.append(s->incoming.data(), size);
          s->hand_on_frames();
          if (!s->closed) {
            s->read();
          }
        });
  }

  // Hands on the frames that have arrived completely. Their handler may close the link.
  void hand_on_frames() {
    std::size_t at = 0;
    while (!this->closed && this->unhandled.size() - at >= header_bytes) {
      const std::size_t size = frame_size(std::string_view(this->unhandled).substr(at));
      if (size > max_frame_bytes) {
        this->disconnected();
        return;
      }
      if (this->unhandled.size() - at - header_bytes < size) {
        break;
      }
      std::string frame = this->unhandled.substr(at + header_bytes, size);
      at += header_bytes + size;
      this->on.on_frame(std::move(frame));
    }
    this->unhandled.erase(0, at);
    if (this->unhandled.empty()) {
      std::string().swap(this->unhandled);  // A large frame needs its memory only once.
    }
  }

  void write() {
    if (!this->connected || this->writing || this->queued.empty() || this->closed) {
      return;
    }
    this->writing = true;
    this->in_flight = std::exchange(this->queued, {});
    asio::async_write(this->socket, asio::buffer(this->in_flight),
                      [s = this->shared_from_this()](asio::error_code error, std::size_t) {
                        s->writing = false;
                        if (error) {
                          s->disconnected();
                        } else {
                          s->write();
                        }
                      });
  }

  void disconnected() {
    if (!this->closed) {
      this->close();
      this->on.on_disconnect();
    }
  }

  void close() {
    this->closed = true;
    asio::error_code ignored;  // The socket is closed even if close() fails.
    this->socket.close(ignored);
  }
};

tcp_link::tcp_link(tcp::socket socket, frame_handlers on)
    : self(std::make_shared<state>(std::move(socket), std::move(on))) {
  this->self->start();
}

tcp_link::tcp_link(asio::io_context& io, const peer_address& to, frame_handlers on)
    : self(std::make_shared<state>(tcp::socket(io), std::move(on))) {
  asio::error_code error;
  const tcp::endpoint peer(asio::ip::make_address(to.host, error), to.port);
  if (error) {
    asio::post(io, [s = this->self] { s->disconnected(); });
    return;
  }
  this->self->socket.async_connect(peer, [s = this->self](asio::error_code failed) {
    if (failed) {
      s->disconnected();
    } else {
      s->start();
    }
  });
}

tcp_link::~tcp_link() {
  this->self->close();
}

void tcp_link::send(std::string frame) {
  if (this->self->closed) {
    return;
  }
  append_frame(this->self->queued, frame);
  if (this->self->queued.size() > max_queued_bytes) {
    asio::post(this->self->socket.get_executor(), [s = this->self] { s->disconnected(); });
    return;
  }
  this->self->write();
}

std::unique_ptr<frame_link> tcp_dialer::dial(const peer_address& to, frame_handlers on) {
  return std::make_unique<tcp_link>(this->io, to, std::move(on));
}

}  // namespace monsoonmux::cell
