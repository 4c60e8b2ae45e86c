#include "cell/tcp_link.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

namespace monsoonmux::cell {
namespace {

using asio::ip::tcp;

// A link on the loopback interface, and the socket at its other end.
struct tcp_fixture {
  tcp_fixture() {
    tcp::acceptor acceptor(this->io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    this->peer.connect(acceptor.local_endpoint());
    this->link.emplace(acceptor.accept(),
                       frame_handlers{[this](std::string frame) { this->frames.push_back(frame); },
                                      [this] { this->disconnected = true; }});
  }

  void send(const std::string& bytes) { asio::write(this->peer, asio::buffer(bytes)); }

  asio::io_context io;
  tcp::socket peer{this->io};
  std::vector<std::string> frames;
  bool disconnected = false;
  std::optional<tcp_link> link;
};

std::string framed(const std::string& content) {
  return std::string(3, '\0') + static_cast<char>(content.size()) + content;
}

TEST_CASE("Frames that arrive together are all handled in one turn of the event loop") {
  constexpr std::size_t frames = 50;
  tcp_fixture fixture;
  std::string bytes;
  for (std::size_t i = 0; i < frames; ++i) {
    bytes += framed("frame");
  }
  fixture.send(bytes);
  fixture.io.run_one();
  CHECK(fixture.frames == std::vector<std::string>(frames, "frame"));
}

TEST_CASE("A frame that arrives in pieces is handled once it is complete") {
  tcp_fixture fixture;
  const std::string bytes = framed("first") + framed("") + framed("second");
  for (const char byte : bytes) {
    fixture.send(std::string(1, byte));
    fixture.io.run_one();
  }
  CHECK(fixture.frames == std::vector<std::string>{"first", "", "second"});
}

TEST_CASE("A frame larger than any that is sent ends the connection") {
  tcp_fixture fixture;
  fixture.send(framed("first") + std::string(4, '\x7f'));
  fixture.io.run_one();
  CHECK(fixture.frames == std::vector<std::string>{"first"});
  CHECK(fixture.disconnected);
}

TEST_CASE("A handler may close the link while further frames wait") {
  tcp_fixture fixture;
  int handled = 0;
  tcp::acceptor acceptor(fixture.io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  tcp::socket peer(fixture.io);
  peer.connect(acceptor.local_endpoint());
  std::optional<tcp_link> closing;
  closing.emplace(acceptor.accept(), frame_handlers{[&](const std::string&) {
                                                      ++handled;
                                                      closing.reset();
                                                    },
                                                    [] {}});
  asio::write(peer, asio::buffer(framed("first") + framed("second")));
  fixture.io.run_one();
  CHECK(handled == 1);
}

}  // namespace
}  // namespace monsoonmux::cell
