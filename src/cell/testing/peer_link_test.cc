#include "cell/peer_link.h"

#include <asio/buffer.hpp>
#include <catch2/catch.hpp>

#include "cell/testing/fake_cell.h"
#include "cell/testing/fake_loop.h"

namespace monsoonmux::cell {
namespace {

// A link on the loopback interface, and a socket that sends it datagrams.
struct link_fixture {
  link_fixture() { this->sender.open(asio::ip::udp::v4()); }

  void send(const std::string& bytes) {
    const asio::ip::udp::endpoint to(asio::ip::address_v4::loopback(), this->link.port());
    this->sender.send_to(asio::buffer(bytes), to);
  }

  asio::io_context io;
  fake_loop time;
  event_log events{fake_cell::log_descriptor(), time, "test"};
  metric_registry metrics;
  int received = 0;
  peer_link link{io,      events,
                 metrics, "127.0.0.1",
                 0,       [this](const peer_message&, const peer_address&) { ++this->received; }};
  asio::ip::udp::socket sender{io};
};

TEST_CASE("Datagrams that wait are all handled in one turn of the event loop") {
  constexpr int datagrams = 50;
  link_fixture fixture;
  for (int i = 0; i < datagrams; ++i) {
    fixture.send(encode(peer_message{"peer", pending_answer_message{i, 0}}));
  }
  fixture.io.run_one();
  CHECK(fixture.received == datagrams);
}

TEST_CASE("A flood of datagrams does not keep the event loop from other work") {
  constexpr int bound = peer_link::max_datagrams_per_turn;
  constexpr int datagrams = bound + 50;
  link_fixture fixture;
  for (int i = 0; i < datagrams; ++i) {
    fixture.send(encode(peer_message{"peer", pending_answer_message{i, 0}}));
  }
  fixture.io.run_one();
  CHECK(fixture.received == bound);
  fixture.io.poll();
  CHECK(fixture.received == datagrams);
}

TEST_CASE("An unreadable datagram does not keep those behind it from being handled") {
  link_fixture fixture;
  fixture.send("x");
  fixture.send(encode(peer_message{"peer", pending_answer_message{1, 0}}));
  fixture.io.run_one();
  CHECK(fixture.received == 1);
}

}  // namespace
}  // namespace monsoonmux::cell
