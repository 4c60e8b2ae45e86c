#include <catch2/catch.hpp>

#include "http/http_server.h"
#include "platform_http/runner_http.h"
#include "platform_http/worker_json.h"

namespace monsoonmux {
namespace {

constexpr int port = 17'421;

std::vector<runner_host> one_runner() {
  runner_host host;
  host.runner = runner_id("r");
  host.address = "127.0.0.1:" + std::to_string(port);
  return {host};
}

server_options options() {
  server_options o;
  o.port = port;
  return o;
}

runner_request call(const std::string& id) {
  runner_request r;
  r.call_id = id;
  r.method = "GET";
  r.path = "/";
  r.timeout = {300};
  return r;
}

}  // namespace

TEST_CASE("messages to and from workers are unchanged by a round trip through JSON") {
  sync_request sync{domain_id("d"), {4}, {}, {10'000}, 77, 12, {{{job_id("j"), 3}, 2}}};
  CHECK(to_json(read_sync_request(to_json(sync))) == to_json(sync));
  worker_report report;
  report.now = 5;
  report.tasks.push_back(
      {{job_id("a/b"), 1}, 2, report_phase::failed, {{1}, {2}, {3}}, {}, {9}, {8}});
  CHECK(to_json(read_worker_report(to_json(report))) == to_json(report));
  start_request start;
  start.run = {{job_id("j"), 0}, 1};
  start.command = "x";
  CHECK(to_json(read_start_request(to_json(start))) == to_json(start));
}

TEST_CASE("an answer with the id of another call is rejected") {
  std::string answered_id;
  const http_server server(options(), [&](const http_request& r, const http_respond& respond) {
    http_response answer;
    answer.headers.push_back(
        {"X-Call-Id", answered_id.empty() ? r.header("X-Call-Id") : answered_id});
    respond(answer);
  });
  runner_http runners;
  runners.set_hosts(one_runner());
  CHECK(runners.call(runner_id("r"), call("a")).has_value());
  answered_id = "b";
  const auto crossed = runners.call(runner_id("r"), call("a"));
  REQUIRE(crossed.has_error());
  CHECK(crossed.error().effect == verdict::may_have_run);
}

TEST_CASE("a late answer to a timed-out call is not returned for the next call") {
  std::vector<http_respond> late;
  int requests_received = 0;
  const http_server server(options(), [&](const http_request& r, const http_respond& respond) {
    if (++requests_received == 1) {
      late.push_back(respond);
      return;
    }
    for (const auto& l : late) {
      l({200, "text/plain", {{"X-Call-Id", "first"}}, "first"});
    }
    late.clear();
    respond({200, "text/plain", {{"X-Call-Id", r.header("X-Call-Id")}}, "second"});
  });
  runner_http runners;
  runners.set_hosts(one_runner());
  CHECK(runners.call(runner_id("r"), call("first")).has_error());
  const auto second = runners.call(runner_id("r"), call("second"));
  REQUIRE(second.has_value());
  CHECK(second.value().body == "second");
}

TEST_CASE("a call to an unknown runner fails with not_run") {
  runner_http runners;
  CHECK(runners.call(runner_id("r"), call("a")).error().effect == verdict::not_run);
}

}  // namespace monsoonmux
