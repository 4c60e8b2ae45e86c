#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "http/client_pool.h"
#include "http/http_server.h"

namespace monsoonmux {
namespace {

constexpr int port = 17'411;
const std::string base = "http://127.0.0.1:" + std::to_string(port);

server_options options() {
  server_options o;
  o.port = port;
  o.max_body_bytes = 1'024;
  return o;
}

void echo(const http_request& request, const http_respond& respond) {
  http_response answer;
  answer.status = request.path == "/missing" ? 404 : 200;
  answer.headers.push_back({"X-Seen", request.header("x-sent")});
  answer.body = request.method + request.parameter("q") + request.body;
  respond(answer);
}

// Answers the first request, reads all that follow, and closes their connections.
class closing_server {
 public:
  closing_server() : thread([this] { this->serve(); }) {}
  ~closing_server() {
    this->stopping = true;
    this->wake();
    this->thread.join();
  }
  closing_server(const closing_server&) = delete;
  closing_server& operator=(const closing_server&) = delete;

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()) + "/";
  }
  int requests_read() const { return this->requests; }

 private:
  void wake() {
    asio::ip::tcp::socket socket(this->io);
    asio::error_code ignored;
    socket.connect(this->acceptor.local_endpoint(), ignored);
  }

  void serve() {
    while (!this->stopping) {
      asio::ip::tcp::socket socket = this->acceptor.accept();
      this->serve(socket);
    }
  }

  void serve(asio::ip::tcp::socket& socket) {
    std::string received;
    asio::error_code error;
    while (asio::read_until(socket, asio::dynamic_buffer(received), "body!", error) > 0) {
      received.clear();
      if (++this->requests > 1) {
        return;
      }
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      asio::write(socket, asio::buffer(answer), error);
    }
  }

  asio::io_context io;
  asio::ip::tcp::acceptor acceptor{this->io, {asio::ip::make_address("127.0.0.1"), 0}};
  std::atomic<int> requests = 0;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace

TEST_CASE("a request whose kept connection closes without an answer reaches the server once") {
  const closing_server server;
  http_client client;
  REQUIRE(client.send({"POST", server.url(), {}, "body!"}).has_value());
  const auto answer = client.send({"POST", server.url(), {}, "body!"});
  REQUIRE(answer.has_error());
  CHECK(answer.error().effect == verdict::may_have_run);
  CHECK(server.requests_read() == 2);
}

TEST_CASE("a request reaches the handler and the client receives the answer") {
  const http_server server(options(), echo);
  http_client client;
  const auto answer = client.send({"POST", base + "/a?p=1&q=two", {{"X-Sent", "yes"}}, "body"});
  REQUIRE(answer.has_value());
  CHECK(answer.value().body == "POSTtwobody");
  CHECK(answer.value().header("x-seen") == "yes");
  CHECK(client.send({"GET", base + "/missing"}).value().status == 404);
}

TEST_CASE("a body over the limit closes the connection, and the server keeps serving") {
  const http_server server(options(), echo);
  http_client client;
  CHECK(client.send({"POST", base + "/", {}, std::string(4'096, 'x')}).has_error());
  CHECK(client.send({"GET", base + "/"}).has_value());
}

TEST_CASE("a refused connection is reported as not_run") {
  http_client client;
  const auto answer = client.send({"GET", "http://127.0.0.1:1/"});
  REQUIRE(answer.has_error());
  CHECK(answer.error().effect == verdict::not_run);
}

TEST_CASE("a request without an answer is reported as may_have_run") {
  std::vector<http_respond> kept;
  const http_server server(options(),
                           [&kept](const http_request&, http_respond r) { kept.push_back(r); });
  http_client client;
  client_request request{"GET", base + "/"};
  request.timeout = {100};
  const auto answer = client.send(request);
  REQUIRE(answer.has_error());
  CHECK(answer.error().effect == verdict::may_have_run);
}

TEST_CASE("a pool sends a request only if its check passes") {
  const http_server server(options(), echo);
  client_pool pool(2, 8);
  std::promise<verdict> unsent;
  pool.send(
      {"GET", base + "/"}, [] { return false; },
      [&](const result<client_answer>& a) { unsent.set_value(a.error().effect); });
  CHECK(unsent.get_future().get() == verdict::not_run);
  std::promise<int> sent;
  pool.send({"GET", base + "/"}, nullptr,
            [&](const result<client_answer>& a) { sent.set_value(a.value().status); });
  CHECK(sent.get_future().get() == 200);
}

}  // namespace monsoonmux
