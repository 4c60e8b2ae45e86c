#include <catch2/catch.hpp>
#include <future>

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

}  // namespace

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
