#include <unistd.h>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "async/event_log.h"
#include "async/http_listener.h"
#include "async/http_transport.h"
#include "async/metric_registry.h"

namespace monsoonmux::cell {
namespace {

constexpr std::uint16_t test_port = 17'431;

std::string read_all(int descriptor) {
  std::string text(1 << 20, '\0');
  const ssize_t size = ::read(descriptor, text.data(), text.size());
  text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return text;
}

TEST_CASE("Listener and transport exchange requests on one event loop") {
  asio::io_context io;
  listener_options options;
  options.port = test_port;
  http_listener listener(io, options, [](const http_request& request, const http_respond& respond) {
    respond({.status = request.method == "POST" ? 200 : 410, .headers = {}, .body = request.body});
  });
  metric_registry metrics;
  http_transport transport(io, metrics, {});
  int answers = 0;
  const std::string url = "http://127.0.0.1:" + std::to_string(test_port) + "/x";
  for (int i = 0; i < 20; ++i) {
    transport.send({.method = i % 2 == 0 ? "POST" : "GET", .url = url, .body = std::to_string(i)},
                   [&, i](result<client_answer> answer) {
                     REQUIRE(answer.has_value());
                     CHECK(answer.value().status == (i % 2 == 0 ? 200 : 410));
                     if (i % 2 == 0) {
                       CHECK(answer.value().body == std::to_string(i));
                     }
                     if (++answers == 20) {
                       io.stop();
                     }
                   });
  }
  io.run_for(std::chrono::seconds(10));
  CHECK(answers == 20);
  CHECK(transport.connections_opened() <= 4);
}

TEST_CASE("A request to a port without a listener did not run") {
  asio::io_context io;
  metric_registry metrics;
  http_transport transport(io, metrics, {});
  bool failed = false;
  transport.send({.method = "GET", .url = "http://127.0.0.1:1/x"},
                 [&](result<client_answer> answer) {
                   REQUIRE(answer.has_error());
                   failed = answer.error().effect == verdict::not_run;
                   io.stop();
                 });
  io.run_for(std::chrono::seconds(10));
  CHECK(failed);
}

TEST_CASE("An unanswered request ends with its time-out and may have run") {
  asio::io_context io;
  listener_options options;
  options.port = test_port + 1;
  std::vector<http_respond> unanswered;
  http_listener listener(io, options, [&unanswered](const http_request&, http_respond respond) {
    unanswered.push_back(std::move(respond));
  });
  metric_registry metrics;
  http_transport transport(io, metrics, {});
  bool ended = false;
  client_request request{.method = "GET",
                         .url = "http://127.0.0.1:" + std::to_string(test_port + 1) + "/"};
  request.timeout = millis{50};
  transport.send(request, [&](result<client_answer> answer) {
    REQUIRE(answer.has_error());
    CHECK(answer.error().effect == verdict::may_have_run);
    ended = true;
    io.stop();
  });
  io.run_for(std::chrono::seconds(10));
  CHECK(ended);
}

TEST_CASE("The event log never blocks, and reports how many lines it dropped") {
  int pipe_ends[2];
  REQUIRE(pipe(pipe_ends) == 0);
  fake_clock time;
  event_log_options options;
  options.buffer_bytes = 4'000;
  event_log log(pipe_ends[1], time, "d1", options);
  for (int i = 0; i < 3'000; ++i) {
    log.write("tick", {{"i", i}});
  }
  CHECK(log.dropped() > 0);
  while (read_all(pipe_ends[0]).size() > 60'000) {
    log.flush();
  }
  log.flush();
  log.write("after", {});
  const std::string text = read_all(pipe_ends[0]);
  const auto last = text.rfind('\n', text.size() - 2);
  const auto line = nlohmann::json::parse(text.substr(last + 1));
  CHECK(line["event"] == "after");
  CHECK(line["lines_dropped"] == log.dropped());
}

TEST_CASE("Histogram buckets are cumulative") {
  metric_registry metrics;
  metrics.observe("wait", millis{1});
  metrics.observe("wait", millis{100'000});
  const std::string text = metrics.text();
  CHECK(text.find("monsoonmux_wait_ms_bucket{le=\"1\"} 1\n") != std::string::npos);
  CHECK(text.find("monsoonmux_wait_ms_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
  CHECK(text.find("monsoonmux_wait_ms_sum 100001\n") != std::string::npos);
}

TEST_CASE("A stalled answer fails long before the time-out of a large one") {
  asio::io_context io;
  constexpr std::uint16_t port = test_port + 2;
  std::vector<http_respond> unanswered;
  http_listener listener(
      io, {.address = "127.0.0.1", .port = port},
      [&](const http_request&, const http_respond& respond) { unanswered.push_back(respond); });
  metric_registry metrics;
  http_transport transport(io, metrics, {.stalled_after_s = 1});
  const std::string url = "http://127.0.0.1:" + std::to_string(port) + "/";
  bool failed = false;
  transport.send({.method = "GET", .url = url, .timeout = millis{60'000}},
                 [&](const result<client_answer>& answer) {
                   failed =
                       answer.has_error() && answer.error().code == error_code::deadline_exceeded;
                   io.stop();
                 });
  io.run_for(std::chrono::seconds(20));
  CHECK(failed);
}

}  // namespace
}  // namespace monsoonmux::cell
