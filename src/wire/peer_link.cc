#include "wire/peer_link.h"

#include <array>
#include <asio.hpp>
#include <atomic>
#include <stdexcept>
#include <thread>

namespace monsoonmux {
namespace {

using asio::ip::tcp;
using asio::ip::udp;

constexpr std::size_t max_datagram = 60'000;
constexpr std::uint32_t max_frame = 64 << 20;
constexpr std::uint32_t max_request_frame = 64 << 10;
constexpr std::chrono::seconds exchange_timeout{3};
constexpr int max_exchanges = 64;

std::string frame(const std::string& sealed) {
  const auto size = static_cast<std::uint32_t>(sealed.size());
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((size >> shift) & 0xff));
  }
  return out + sealed;
}

// One TCP connection, which carries one frame in each direction: a request and its
// answer.
struct exchange : std::enable_shared_from_this<exchange> {
  explicit exchange(asio::io_context& io) : socket(io), timer(io) {}

  void start_timeout() {
    this->timer.expires_after(exchange_timeout);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
      if (!error) {
        asio::error_code ignored;
        self->socket.close(ignored);
      }
    });
  }

  void read(std::uint32_t limit, const std::function<void(bool)>& done) {
    auto self = this->shared_from_this();
    asio::async_read(this->socket, asio::buffer(this->header),
                     [self, limit, done](const asio::error_code& error, std::size_t) {
                       std::uint32_t size = 0;
                       for (const unsigned char byte : self->header) {
                         size = (size << 8) | byte;
                       }
                       if (error || size > limit) {
                         done(false);
                         return;
                       }
                       self->body.resize(size);
                       asio::async_read(
                           self->socket, asio::buffer(self->body),
                           [self, done](const asio::error_code& e, std::size_t) { done(!e); });
                     });
  }

  void write(std::string bytes, const std::function<void(bool)>& done) {
    this->out = std::move(bytes);
    auto self = this->shared_from_this();
    asio::async_write(this->socket, asio::buffer(this->out),
                      [self, done](const asio::error_code& error, std::size_t) { done(!error); });
  }

  tcp::socket socket;
  asio::steady_timer timer;
  std::array<unsigned char, 4> header{};
  std::string body;
  std::string out;
};

}  // namespace

struct peer_link::state : std::enable_shared_from_this<peer_link::state> {
  state(daemon_id name, std::int64_t incarnation, sealer& seals, logical_clock& logical)
      : name(std::move(name)), incarnation(incarnation), seals(seals), logical(logical) {}

  void open(const endpoint& listen);
  void receive();
  void on_bytes(std::size_t size);
  void accept();
  void serve(const std::shared_ptr<exchange>& x);
  std::string seal_message(peer_body body);

  const daemon_id name;
  const std::int64_t incarnation;
  sealer& seals;
  logical_clock& logical;
  on_datagram datagram;
  on_request request;
  asio::io_context io;
  udp::socket socket{io};
  tcp::acceptor acceptor{io};
  udp::endpoint from;
  std::array<char, max_datagram> buffer{};
  std::thread thread;
  int exchanges = 0;
  std::atomic<std::int64_t> sequence{0};
  std::atomic<std::int64_t> sent{0};
  std::atomic<std::int64_t> received{0};
  std::atomic<std::int64_t> dropped{0};
};

void peer_link::state::open(const endpoint& listen) {
  const auto address = asio::ip::make_address(listen.address);
  const auto port = static_cast<std::uint16_t>(listen.port);
  this->socket.open(udp::v4());
  this->socket.bind({address, port});
  this->acceptor.open(tcp::v4());
  this->acceptor.set_option(tcp::acceptor::reuse_address(true));
  this->acceptor.bind({address, port});
  this->acceptor.listen();
}

std::string peer_link::state::seal_message(peer_body body) {
  return this->seals.seal(
      {this->name, this->incarnation, ++this->sequence, this->logical.next(), std::move(body)});
}

void peer_link::state::receive() {
  this->socket.async_receive_from(
      asio::buffer(this->buffer), this->from,
      [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          self->on_bytes(size);
        }
        self->receive();
      });
}

void peer_link::state::on_bytes(std::size_t size) {
  this->received += static_cast<std::int64_t>(size);
  const auto opened = this->seals.open(std::string(this->buffer.data(), size));
  if (opened.has_error() || !this->seals.accept_if_newer(opened.value())) {
    ++this->dropped;
    return;
  }
  this->logical.observe(opened.value().logical);
  this->datagram(opened.value());
}

void peer_link::state::accept() {
  auto x = std::make_shared<exchange>(this->io);
  this->acceptor.async_accept(x->socket,
                              [self = this->shared_from_this(), x](const asio::error_code& error) {
                                if (error == asio::error::operation_aborted) {
                                  return;
                                }
                                if (!error && self->exchanges < max_exchanges) {
                                  self->serve(x);
                                }
                                self->accept();
                              });
}

void peer_link::state::serve(const std::shared_ptr<exchange>& x) {
  ++this->exchanges;
  x->start_timeout();
  x->read(max_request_frame, [self = this->shared_from_this(), x](bool ok) {
    const auto opened =
        ok ? self->seals.open(x->body)
           : result<peer_message>(not_run(error_code::connection_lost, "cannot read the request"));
    if (opened.has_error()) {
      ++self->dropped;
      --self->exchanges;
      x->timer.cancel();
      return;
    }
    self->received += static_cast<std::int64_t>(x->body.size());
    const std::string answer = frame(self->seal_message(self->request(opened.value())));
    self->sent += static_cast<std::int64_t>(answer.size());
    x->write(answer, [self, x](bool) {
      --self->exchanges;
      x->timer.cancel();
    });
  });
}

peer_link::peer_link(const endpoint& listen, daemon_id self, std::int64_t incarnation,
                     sealer& seals, logical_clock& logical, on_datagram datagram,
                     on_request request)
    : self(std::make_shared<state>(std::move(self), incarnation, seals, logical)) {
  this->self->datagram = std::move(datagram);
  this->self->request = std::move(request);
  try {
    this->self->open(listen);
  } catch (const std::exception& error) {
    throw std::runtime_error("cannot listen on " + listen.text() + ": " + error.what());
  }
}

void peer_link::start() {
  this->self->receive();
  this->self->accept();
  this->self->thread = std::thread([s = this->self] { s->io.run(); });
}

peer_link::~peer_link() {
  asio::post(this->self->io, [s = this->self] {
    asio::error_code ignored;
    s->socket.close(ignored);
    s->acceptor.close(ignored);
  });
  this->self->io.stop();
  if (this->self->thread.joinable()) {
    this->self->thread.join();
  }
}

void peer_link::send(const endpoint& to, peer_body body) {
  std::string bytes = this->self->seal_message(std::move(body));
  if (bytes.size() > max_datagram) {
    return;
  }
  this->self->sent += static_cast<std::int64_t>(bytes.size());
  asio::post(this->self->io, [s = this->self, to, bytes = std::move(bytes)] {
    asio::error_code ignored;
    const udp::endpoint target(asio::ip::make_address(to.address),
                               static_cast<std::uint16_t>(to.port));
    s->socket.send_to(asio::buffer(bytes), target, 0, ignored);
  });
}

void peer_link::send_request(const endpoint& to, peer_body body, const reply<peer_body>& done) {
  const std::string bytes = frame(this->self->seal_message(std::move(body)));
  this->self->sent += static_cast<std::int64_t>(bytes.size());
  asio::post(this->self->io, [s = this->self, to, bytes, done] {
    auto x = std::make_shared<exchange>(s->io);
    x->start_timeout();
    const auto fail = [x, done](const std::string& reason) {
      x->timer.cancel();
      done(may_have_run(error_code::connection_lost, reason));
    };
    const tcp::endpoint target(asio::ip::make_address(to.address),
                               static_cast<std::uint16_t>(to.port));
    x->socket.async_connect(target, [s, x, bytes, done, fail](const asio::error_code& error) {
      if (error) {
        fail(error.message());
        return;
      }
      x->write(bytes, [s, x, done, fail](bool ok) {
        if (!ok) {
          fail("cannot write the request");
          return;
        }
        x->read(max_frame, [s, x, done, fail](bool read) {
          const auto opened = read ? s->seals.open(x->body)
                                   : result<peer_message>(not_run(error_code::connection_lost,
                                                                  "cannot read the answer"));
          if (opened.has_error()) {
            fail(opened.error().detail);
            return;
          }
          s->received += static_cast<std::int64_t>(x->body.size());
          x->timer.cancel();
          done(opened.value().body);
        });
      });
    });
  });
}

std::int64_t peer_link::sent_bytes() const {
  return this->self->sent;
}
std::int64_t peer_link::received_bytes() const {
  return this->self->received;
}
std::int64_t peer_link::dropped() const {
  return this->self->dropped;
}

}  // namespace monsoonmux
