// Checks that http_transport never reports a request as not run that the server has read in
// full, however the connection fails. A leader gives the capacity of a start that was "not run"
// to other tasks.

#include "async/http_transport.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "async/metric_registry.h"

namespace monsoonmux::cell {
namespace {

using asio::ip::tcp;

constexpr millis usual_timeout{250};
const std::string answer_head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
// More than a receive buffer of the client.
constexpr std::size_t long_body_bytes = 40'000;

// What the server does with a request that it has read in full and does not answer.
enum class failing {
  silence,
  close,
  reset,
  close_inside_head,
  close_inside_body,
  silence_in_body,
  // Whole answers.
  answer_and_close,
  answer_and_reset,
  answer_in_two_parts_and_close,
  long_answer_and_close,
  long_answer_and_reset,
};

struct server_options {
  int answered_first = 0;  // The first requests get an answer.
  failing how = failing::silence;
  bool stops_listening = false;  // No further connection is accepted after that.
};

std::string long_answer() {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(long_body_bytes) + "\r\n\r\n" +
         std::string(long_body_bytes, 'x');
}

class failing_server {
 public:
  failing_server(asio::io_context& loop, const server_options& given)
      : options(given), acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    this->port = this->acceptor.local_endpoint().port();
    this->accept();
  }

  std::string url() const { return "http://127.0.0.1:" + std::to_string(this->port) + "/x"; }
  int requests_read() const { return this->requests; }
  void close_connections() {
    for (const auto& c : this->open) {
      c->socket.close();
    }
    this->open.clear();
  }

 private:
  struct connection {
    explicit connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    asio::streambuf buffer;
  };
  using connection_ptr = std::shared_ptr<connection>;

  void accept() {
    this->acceptor.async_accept([this](asio::error_code error, tcp::socket socket) {
      if (!error) {
        this->open.push_back(std::make_shared<connection>(std::move(socket)));
        this->read(this->open.back());
        this->accept();
      }
    });
  }

  void read(const connection_ptr& c) {
    asio::async_read_until(c->socket, c->buffer, "body!",
                           [this, c](asio::error_code error, std::size_t size) {
                             if (error) {
                               return;
                             }
                             c->buffer.consume(size);
                             ++this->requests;
                             if (this->requests <= this->options.answered_first) {
                               this->write(c, answer_head + "ok");
                               this->read(c);
                             } else {
                               this->fail(c);
                             }
                           });
  }

  void fail(const connection_ptr& c) {
    if (this->options.stops_listening) {
      this->acceptor.close();
    }
    switch (this->options.how) {
      case failing::silence:
        return;
      case failing::silence_in_body:
        this->write(c, answer_head + "o");
        return;
      case failing::reset:
        c->socket.set_option(asio::socket_base::linger(true, 0));
        break;
      case failing::close_inside_head:
        this->write(c, "HTTP/1.1 200 OK\r\nConte");
        break;
      case failing::close_inside_body:
        this->write(c, answer_head + "o");
        break;
      case failing::answer_and_close:
        this->write(c, answer_head + "ok");
        break;
      case failing::answer_and_reset:
        this->write(c, answer_head + "ok");
        c->socket.set_option(asio::socket_base::linger(true, 0));
        break;
      case failing::answer_in_two_parts_and_close:
        this->write(c, answer_head);
        this->write(c, "ok");
        break;
      case failing::long_answer_and_close:
        this->write(c, long_answer());
        break;
      case failing::long_answer_and_reset:
        this->write(c, long_answer());
        c->socket.set_option(asio::socket_base::linger(true, 0));
        break;
      case failing::close:
        break;
    }
    c->socket.close();
  }

  void write(const connection_ptr& c, const std::string& bytes) {
    asio::error_code ignored;
    asio::write(c->socket, asio::buffer(bytes), ignored);
  }

  const server_options options;
  tcp::acceptor acceptor;
  std::uint16_t port = 0;
  int requests = 0;
  std::vector<connection_ptr> open;
};

// A transport and a server on one event loop.
struct transport_fixture {
  explicit transport_fixture(const server_options& options, const transport_options& client = {})
      : server(this->io, options), transport(this->io, this->metrics, client) {}

  // The index of the answer in `answers`.
  std::size_t send(millis timeout = usual_timeout) {
    client_request request;
    request.method = "POST";
    request.url = this->server.url();
    request.body = "body!";
    request.timeout = timeout;
    const std::size_t index = this->answers.size();
    this->answers.emplace_back();
    this->transport.send(std::move(request), [this, index](const result<client_answer>& answer) {
      this->answers[index] = answer;
    });
    return index;
  }
  const result<client_answer>& wait_for(std::size_t index) {
    while (!this->answers[index]) {
      this->io.run_one();
    }
    return *this->answers[index];
  }

  asio::io_context io;
  metric_registry metrics;
  failing_server server;
  http_transport transport;
  std::vector<std::optional<result<client_answer>>> answers;
};

// close_inside_head has a test of its own.
const std::vector<failing> unanswered = {failing::silence, failing::close, failing::reset,
                                         failing::close_inside_body, failing::silence_in_body};

TEST_CASE("A request that the server has read in full is never reported as not run") {
  for (const failing how : unanswered) {
    for (const int answered_first : {0, 1, 3}) {
      for (const bool stops_listening : {false, true}) {
        INFO("failing " << static_cast<int>(how) << ", answered before " << answered_first
                        << ", stops listening " << stops_listening);
        transport_fixture fixture({answered_first, how, stops_listening});
        for (int i = 0; i < answered_first; ++i) {
          REQUIRE(fixture.wait_for(fixture.send()).has_value());
        }
        const result<client_answer>& last = fixture.wait_for(fixture.send());
        REQUIRE(fixture.server.requests_read() > answered_first);
        REQUIRE(last.has_error());
        CHECK(last.error().effect == verdict::may_have_run);
      }
    }
  }
}

TEST_CASE("An answer that ends inside its head is not a complete answer") {
  transport_fixture fixture({0, failing::close_inside_head, false});
  const result<client_answer>& last = fixture.wait_for(fixture.send());
  REQUIRE(last.has_error());
  CHECK(last.error().effect == verdict::may_have_run);
}

// A runner that leaves may end right behind its last answer.
TEST_CASE("A whole answer is not lost when its connection closes or breaks right behind it") {
  constexpr int rounds = 50;
  for (const failing how : {failing::answer_and_close, failing::answer_and_reset,
                            failing::answer_in_two_parts_and_close, failing::long_answer_and_close,
                            failing::long_answer_and_reset}) {
    const bool is_long =
        how == failing::long_answer_and_close || how == failing::long_answer_and_reset;
    const std::string body = is_long ? std::string(long_body_bytes, 'x') : "ok";
    for (const int answered_first : {0, 1, 3}) {
      for (const bool stops_listening : {false, true}) {
        INFO("failing " << static_cast<int>(how) << ", answered before " << answered_first
                        << ", stops listening " << stops_listening);
        int lost = 0;
        for (int i = 0; i < rounds; ++i) {
          transport_fixture fixture({answered_first, how, stops_listening});
          for (int before = 0; before < answered_first; ++before) {
            REQUIRE(fixture.wait_for(fixture.send()).has_value());
          }
          const result<client_answer>& last = fixture.wait_for(fixture.send());
          lost += last.has_value() && last.value().body == body ? 0 : 1;
        }
        CHECK(lost == 0);
      }
    }
  }
}

// A start that is executed and then refused, because it came twice, would count as not executed.
TEST_CASE("A request whose kept connection closes without an answer reaches the server once") {
  for (const failing how : {failing::close, failing::reset}) {
    for (const bool stops_listening : {false, true}) {
      INFO("failing " << static_cast<int>(how) << ", stops listening " << stops_listening);
      transport_fixture fixture({1, how, stops_listening});
      REQUIRE(fixture.wait_for(fixture.send()).has_value());
      const result<client_answer>& last = fixture.wait_for(fixture.send());
      REQUIRE(last.has_error());
      CHECK(last.error().effect == verdict::may_have_run);
      CHECK(fixture.server.requests_read() == 2);
    }
  }
}

TEST_CASE(
    "Requests whose kept connections all close without an answer reach the server once each") {
  constexpr int connections = 4;
  for (const failing how : {failing::close, failing::reset}) {
    INFO("failing " << static_cast<int>(how));
    transport_fixture fixture({connections, how, false});
    for (int round = 0; round < 2; ++round) {
      std::vector<std::size_t> sent;
      for (int i = 0; i < connections; ++i) {
        sent.push_back(fixture.send());
      }
      for (const std::size_t index : sent) {
        CHECK(fixture.wait_for(index).has_value() == (round == 0));
      }
    }
    CHECK(fixture.server.requests_read() == 2 * connections);
  }
}

TEST_CASE("A request that waits for a connection until its time-out is not run") {
  transport_options one_connection;
  one_connection.connections_per_peer = 1;
  transport_fixture fixture({0, failing::silence, false}, one_connection);
  const std::size_t first = fixture.send();
  const std::size_t second = fixture.send(usual_timeout / 2);
  REQUIRE(fixture.wait_for(second).has_error());
  CHECK(fixture.wait_for(second).error().effect == verdict::not_run);
  REQUIRE(fixture.wait_for(first).has_error());
  CHECK(fixture.wait_for(first).error().effect == verdict::may_have_run);
  CHECK(fixture.server.requests_read() == 1);
}

TEST_CASE("A request that waited and was sent shortly before its time-out may have run") {
  transport_options one_connection;
  one_connection.connections_per_peer = 1;
  for (const int longer_ms : {1, 3, 10, 50}) {
    INFO("its time-out is " << longer_ms << " ms later than that of the request before it");
    transport_fixture fixture({0, failing::silence, false}, one_connection);
    fixture.send();
    const result<client_answer>& last =
        fixture.wait_for(fixture.send(usual_timeout + millis{longer_ms}));
    REQUIRE(last.has_error());
    const bool was_read = fixture.server.requests_read() > 1;
    CHECK((!was_read || last.error().effect == verdict::may_have_run));
  }
}

TEST_CASE("A request to a kept connection that was closed while idle runs once or may have run") {
  for (const int answered_first : {1, 2}) {
    transport_fixture fixture({answered_first, failing::silence, true});
    for (int i = 0; i < answered_first; ++i) {
      REQUIRE(fixture.wait_for(fixture.send()).has_value());
    }
    fixture.server.close_connections();
    const result<client_answer>& last = fixture.wait_for(fixture.send());
    REQUIRE(last.has_error());
    const bool was_read = fixture.server.requests_read() > answered_first;
    CHECK((!was_read || last.error().effect == verdict::may_have_run));
  }
}

TEST_CASE("A refused connection is reported as not run") {
  transport_fixture fixture({});
  client_request request;
  request.method = "POST";
  request.url = "http://127.0.0.1:1/x";
  std::optional<result<client_answer>> got;
  fixture.transport.send(std::move(request),
                         [&got](const result<client_answer>& answer) { got = answer; });
  while (!got) {
    fixture.io.run_one();
  }
  REQUIRE(got->has_error());
  CHECK(got->error().effect == verdict::not_run);
}

}  // namespace
}  // namespace monsoonmux::cell
