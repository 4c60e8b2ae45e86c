#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <string>
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

// Answers the first request, reads all that follow, and closes their connections. Has plain
// sockets, as the servers of the other tests run event loops of their own.
class closing_server {
 public:
  closing_server() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(::bind(this->listener, generic, size) == 0);
    REQUIRE(::listen(this->listener, SOMAXCONN) == 0);
    REQUIRE(::getsockname(this->listener, generic, &size) == 0);
    this->port = ntohs(address.sin_port);
    this->thread = std::thread([this] { this->serve(); });
  }
  ~closing_server() {
    ::shutdown(this->listener, SHUT_RDWR);  // Ends accept().
    this->thread.join();
    ::close(this->listener);
  }
  closing_server(const closing_server&) = delete;
  closing_server& operator=(const closing_server&) = delete;

  std::string url() const { return "http://127.0.0.1:" + std::to_string(this->port) + "/"; }
  int requests_read() const { return this->requests; }

 private:
  void serve() {
    for (int peer = ::accept(this->listener, nullptr, nullptr); peer >= 0;
         peer = ::accept(this->listener, nullptr, nullptr)) {
      while (this->read_request(peer) && ++this->requests == 1) {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        ::send(peer, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
      ::close(peer);
    }
  }

  // False if the peer closes the connection instead.
  bool read_request(int peer) const {
    std::string received;
    std::array<char, 1'024> part{};
    while (received.find("body!") == std::string::npos) {
      const ssize_t size = ::recv(peer, part.data(), part.size(), 0);
      if (size <= 0) {
        return false;
      }
      received.append(part.data(), static_cast<std::size_t>(size));
    }
    return true;
  }

  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int port = 0;
  std::atomic<int> requests = 0;
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
