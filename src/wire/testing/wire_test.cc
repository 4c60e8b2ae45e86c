#include <unistd.h>

#include <asio.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <random>
#include <thread>

#include "wire/peer_link.h"

namespace monsoonmux {
namespace {

// Test programs that run at the same time use ports of their own; this one uses four.
int first_port() {
  return 20'000 + 4 * (::getpid() % 1'000);
}

peer_message sample(std::int64_t sequence) {
  heartbeat body;
  body.domain = domain_id("d");
  body.held = {{"r1", 4}};
  return {daemon_id("m1"), 10, sequence, 0, body};
}

}  // namespace

TEST_CASE("a sealed message can be opened with the same secret only") {
  const sealer one("secret");
  const sealer other("different");
  const std::string bytes = one.seal(sample(1));
  REQUIRE(one.open(bytes).has_value());
  CHECK(std::get<heartbeat>(one.open(bytes).value().body).held[0].slots == 4);
  CHECK(other.open(bytes).error().code == error_code::unauthorized);
}

TEST_CASE("opening damaged or truncated bytes always fails and never crashes") {
  const sealer one("secret");
  const std::string bytes = one.seal(sample(1));
  std::mt19937 random(7);
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = bytes;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    damaged.resize(random() % (damaged.size() + 1));
    if (damaged != bytes) {
      CHECK(one.open(damaged).has_error());
    }
  }
}

TEST_CASE("a replayed or older message is not accepted") {
  sealer one("secret");
  CHECK(one.accept_if_newer(sample(2)));
  CHECK_FALSE(one.accept_if_newer(sample(2)));
  CHECK_FALSE(one.accept_if_newer(sample(1)));
  CHECK(one.accept_if_newer(sample(3)));
  peer_message restarted = sample(1);
  restarted.incarnation = 11;
  CHECK(one.accept_if_newer(restarted));
  CHECK_FALSE(one.accept_if_newer(sample(4)));
}

TEST_CASE("datagrams and requests pass between two links, and an invalid datagram is dropped") {
  sealer seals_a("secret");
  sealer seals_b("secret");
  logical_clock logical;
  std::promise<std::string> got;
  const endpoint at_a{"127.0.0.1", first_port()};
  const endpoint at_b{"127.0.0.1", first_port() + 1};
  peer_link a(
      at_a, daemon_id("a"), 1, seals_a, logical, [](const peer_message&) {},
      [](const peer_message&) { return peer_body(heartbeat{}); });
  peer_link b(
      at_b, daemon_id("b"), 1, seals_b, logical,
      [&](const peer_message& m) { got.set_value(m.sender.text); },
      [](const peer_message&) {
        return peer_body(log_read_answer{{{{3}, "x"}}, {3}, {4}});
      });

  a.start();
  b.start();
  asio::io_context io;
  asio::ip::udp::socket junk(io, asio::ip::udp::v4());
  junk.send_to(asio::buffer(std::string(100, 'x')),
               {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(at_b.port)});
  a.send(at_b, heartbeat{});
  CHECK(got.get_future().get() == "a");
  CHECK(b.dropped() == 1);

  std::promise<std::int64_t> end;
  a.send_request(at_b, log_read_request{{3}}, [&](const result<peer_body>& r) {
    end.set_value(std::get<log_read_answer>(r.value()).end.value);
  });
  CHECK(end.get_future().get() == 4);

  std::promise<bool> refused;
  a.send_request({"127.0.0.1", 1}, log_read_request{{3}},
                 [&](const result<peer_body>& r) { refused.set_value(r.has_error()); });
  CHECK(refused.get_future().get());
}

TEST_CASE("A link delivers no datagram before it is started, when its owner may not exist yet") {
  sealer seals_a("secret");
  sealer seals_b("secret");
  logical_clock logical;
  const endpoint at_a{"127.0.0.1", first_port() + 2};
  const endpoint at_b{"127.0.0.1", first_port() + 3};
  const auto no_answer = [](const peer_message&) { return peer_body(heartbeat{}); };
  std::atomic<bool> started = false;
  std::promise<bool> delivered_after_start;
  peer_link a(
      at_a, daemon_id("a"), 1, seals_a, logical, [](const peer_message&) {}, no_answer);
  peer_link b(
      at_b, daemon_id("b"), 1, seals_b, logical,
      [&](const peer_message&) { delivered_after_start.set_value(started); }, no_answer);
  a.start();
  a.send(at_b, heartbeat{});
  constexpr std::chrono::milliseconds until_received{50};
  std::this_thread::sleep_for(until_received);
  started = true;
  b.start();
  CHECK(delivered_after_start.get_future().get());
}

}  // namespace monsoonmux
