// How a link takes the bytes of its connection: what a frame costs, and that it arrives as sent.

#include "cell/tcp_link.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace monsoonmux::cell {
namespace {

using asio::ip::tcp;

constexpr std::chrono::milliseconds long_enough{2'000};

std::string framed(const std::string& frame) {
  constexpr int header_bytes = 4;
  constexpr unsigned byte_bits = 8;
  std::string out;
  for (int i = header_bytes; i-- > 0;) {
    out.push_back(static_cast<char>(frame.size() >> (byte_bits * static_cast<unsigned>(i))));
  }
  return out + frame;
}

// A link whose peer is a plain socket.
struct link_fixture {
  asio::io_context io{1};
  tcp::acceptor acceptor{io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  tcp::socket peer{io};
  std::vector<std::string> frames;
  bool disconnected = false;
  std::optional<tcp_link> link;

  link_fixture() {
    this->peer.connect(this->acceptor.local_endpoint());
    this->peer.set_option(tcp::no_delay(true));
  }
  void open() {
    this->link.emplace(
        this->acceptor.accept(),
        frame_handlers{[this](std::string frame) { this->frames.push_back(std::move(frame)); },
                       [this] { this->disconnected = true; }});
  }
  void write(const std::string& bytes) { asio::write(this->peer, asio::buffer(bytes)); }
  // Runs the loop until this many frames have arrived. Returns how many handlers that took.
  std::size_t run_until(std::size_t count) {
    std::size_t handlers = 0;
    while (this->frames.size() < count && !this->disconnected) {
      const std::size_t ran = this->io.run_one_for(long_enough);
      if (ran == 0) {
        break;
      }
      handlers += ran;
    }
    return handlers;
  }
};

TEST_CASE("A frame that arrives alone takes one handler") {
  link_fixture f;
  f.open();
  constexpr std::size_t count = 50;
  std::size_t handlers = 0;
  for (std::size_t i = 0; i < count; ++i) {
    f.write(framed("frame"));
    handlers += f.run_until(i + 1);
  }
  REQUIRE(f.frames.size() == count);
  CHECK(handlers <= count);
}

TEST_CASE("Frames that wait on the connection take less than one handler each") {
  link_fixture f;
  constexpr std::size_t count = 1'000;
  std::string bytes;
  for (std::size_t i = 0; i < count; ++i) {
    bytes += framed("frame " + std::to_string(i));
  }
  f.write(bytes);
  f.open();
  const std::size_t handlers = f.run_until(count);
  REQUIRE(f.frames.size() == count);
  constexpr std::size_t frames_per_handler = 10;  // At least.
  CHECK(handlers <= count / frames_per_handler);
  CHECK(f.frames.front() == "frame 0");
  CHECK(f.frames.back() == "frame " + std::to_string(count - 1));
}

TEST_CASE("Frames arrive as sent however their bytes are split on the way") {
  const std::vector<std::string> sent = {"a", "", std::string(300, 'b'), std::string(1, '\0'), "e"};
  std::string bytes;
  for (const std::string& frame : sent) {
    bytes += framed(frame);
  }
  for (const std::size_t piece : {1, 2, 3, 5, 7, 300}) {
    link_fixture f;
    f.open();
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      f.write(bytes.substr(at, piece));
      f.io.poll();
    }
    f.run_until(sent.size());
    INFO("pieces of " << piece);
    CHECK(f.frames == sent);
    CHECK_FALSE(f.disconnected);
  }
}

TEST_CASE("A frame of several megabytes arrives between small ones") {
  link_fixture f;
  f.open();
  std::string large;
  constexpr std::size_t size = 3'000'000;
  for (std::size_t i = 0; i < size; ++i) {
    large.push_back(static_cast<char>(i % 251));
  }
  tcp_link sender(std::move(f.peer), {[](const std::string&) {}, [] {}});
  sender.send("before");
  sender.send(large);
  sender.send("after");
  f.run_until(3);
  REQUIRE(f.frames.size() == 3);
  CHECK(f.frames[0] == "before");
  CHECK(f.frames[1] == large);
  CHECK(f.frames[2] == "after");
}

TEST_CASE("A length beyond the limit closes the connection and hands nothing on") {
  link_fixture f;
  f.open();
  f.write(framed("first") + "\xff\xff\xff\xff" + framed("later"));
  f.run_until(2);
  CHECK(f.disconnected);
  CHECK(f.frames == std::vector<std::string>{"first"});
}

TEST_CASE("A link that a handler destroys hands on no more frames that have arrived") {
  link_fixture f;
  int handled = 0;
  f.write(framed("first") + framed("second"));
  f.link.emplace(f.acceptor.accept(), frame_handlers{[&](const std::string&) {
                                                       ++handled;
                                                       f.link.reset();
                                                     },
                                                     [&f] { f.disconnected = true; }});
  f.io.run_for(std::chrono::milliseconds(100));
  CHECK(handled == 1);
  CHECK_FALSE(f.disconnected);
}

TEST_CASE("What came before the end of a connection is handed on") {
  link_fixture f;
  f.open();
  f.write(framed("first") + framed("second") + framed("cut").substr(0, 6));
  f.peer.close();
  f.run_until(3);
  CHECK(f.frames == std::vector<std::string>{"first", "second"});
  CHECK(f.disconnected);
}

}  // namespace
}  // namespace monsoonmux::cell
