// What is sent while a write is under way leaves with the next write, so a busy link
// makes few system calls. The state is shared with the handlers that are still in the
// event loop; it is closed, not destroyed, when the link goes.

#include "cell/tcp_link.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <utility>

namespace monsoonmux::cell {
namespace {

using asio::ip::tcp;

constexpr std::size_t head_bytes = 4;
constexpr std::size_t largest_frame = 16 << 20;
// A peer that does not read for so much is given up.
constexpr std::size_t largest_backlog = 32 << 20;
// A connection whose sent bytes nobody acknowledges for this long is dead.
constexpr unsigned unacknowledged_ms = 1'500;

void append_frame(std::string& out, const std::string& frame) {
  constexpr unsigned byte_bits = 8;
  for (std::size_t i = head_bytes; i-- > 0;) {
    out.push_back(static_cast<char>((frame.size() >> (byte_bits * i)) & 0xffU));
  }
  out += frame;
}

}  // namespace

struct tcp_link::state : std::enable_shared_from_this<tcp_link::state> {
  state(tcp::socket given, frame_handlers callbacks)
      : socket(std::move(given)), on(std::move(callbacks)) {}

  tcp::socket socket;
  frame_handlers on;
  std::array<unsigned char, head_bytes> head{};
  std::string body;
  std::string waiting;
  std::string leaving;
  bool stands = false;
  bool writing = false;
  bool closed = false;

  void begin() {
    if (this->closed) {
      return;
    }
    asio::error_code ignored;  // A link without these options is slower, not wrong.
    this->socket.set_option(tcp::no_delay(true), ignored);
    setsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
               sizeof(unacknowledged_ms));
    this->stands = true;
    this->read();
    this->write();
  }

  void read() {
    asio::async_read(this->socket, asio::buffer(this->head),
                     [s = this->shared_from_this()](asio::error_code error, std::size_t) {
                       std::size_t size = 0;
                       for (const unsigned char byte : s->head) {
                         size = (size << 8U) | byte;
                       }
                       if (error || size > largest_frame) {
                         s->broke();
                         return;
                       }
                       s->read_body(size);
                     });
  }

  void read_body(std::size_t size) {
    this->body.resize(size);
    asio::async_read(this->socket, asio::buffer(this->body),
                     [s = this->shared_from_this()](asio::error_code error, std::size_t) {
                       if (error) {
                         s->broke();
                         return;
                       }
                       if (!s->closed) {
                         s->on.on_frame(std::move(s->body));
                       }
                       if (!s->closed) {
                         s->read();
                       }
                     });
  }

  void write() {
    if (!this->stands || this->writing || this->waiting.empty() || this->closed) {
      return;
    }
    this->writing = true;
    this->leaving = std::exchange(this->waiting, {});
    asio::async_write(this->socket, asio::buffer(this->leaving),
                      [s = this->shared_from_this()](asio::error_code error, std::size_t) {
                        s->writing = false;
                        if (error) {
                          s->broke();
                        } else {
                          s->write();
                        }
                      });
  }

  void broke() {
    if (!this->closed) {
      this->close();
      this->on.on_broken();
    }
  }

  void close() {
    this->closed = true;
    asio::error_code ignored;  // It is closed either way.
    this->socket.close(ignored);
  }
};

tcp_link::tcp_link(tcp::socket socket, frame_handlers on)
    : self(std::make_shared<state>(std::move(socket), std::move(on))) {
  this->self->begin();
}

tcp_link::tcp_link(asio::io_context& io, const peer_address& to, frame_handlers on)
    : self(std::make_shared<state>(tcp::socket(io), std::move(on))) {
  asio::error_code error;
  const tcp::endpoint peer(asio::ip::make_address(to.host, error), to.port);
  if (error) {
    asio::post(io, [s = this->self] { s->broke(); });
    return;
  }
  this->self->socket.async_connect(peer, [s = this->self](asio::error_code failed) {
    if (failed) {
      s->broke();
    } else {
      s->begin();
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
  append_frame(this->self->waiting, frame);
  if (this->self->waiting.size() > largest_backlog) {
    asio::post(this->self->socket.get_executor(), [s = this->self] { s->broke(); });
    return;
  }
  this->self->write();
}

std::unique_ptr<frame_link> tcp_dialer::dial(const peer_address& to, frame_handlers on) {
  return std::make_unique<tcp_link>(this->io, to, std::move(on));
}

}  // namespace monsoonmux::cell
