#include <catch2/catch.hpp>

#include "http/http_server.h"
#include "load/load_runner.h"

namespace monsoonmux {
namespace {

const std::string valid_yaml =
    "seed: 3\n"
    "duration_ms: 500\n"
    "threads: 8\n"
    "servers: [127.0.0.1:17441]\n"
    "streams:\n"
    "  - name: a\n"
    "    queue: q\n"
    "    per_second: 100\n"
    "    work: pareto\n"
    "    work_ms: 5\n";

std::string error_detail(const std::string& text) {
  const auto parsed = parse_experiment(text, "e.yaml");
  return parsed.has_error() ? parsed.error().detail : "accepted";
}

}  // namespace

TEST_CASE("an experiment file is parsed, and errors in it are reported with their line") {
  CHECK(parse_experiment(valid_yaml, "e.yaml").has_value());
  CHECK(error_detail(valid_yaml + "colour: red\n") == "e.yaml:11: colour: unknown key");
  CHECK(error_detail("streams:\n  - name: a\n    queue: q\n    per_second: -1\n")
            .find("e.yaml:4: per_second: expected") == 0);
  CHECK(error_detail("streams:\n  - name: a\n").find("e.yaml:2: a stream needs") == 0);
  CHECK(error_detail("streams: []\n").find("e.yaml:1: streams") == 0);
}

TEST_CASE("a plan is determined by its seed, ordered by time and near its rate") {
  experiment e = parse_experiment(valid_yaml, "e").value();
  e.duration = {100'000};
  const auto plan = make_plan(e);
  CHECK(plan.size() > 9'500);
  CHECK(plan.size() < 10'500);
  CHECK(std::is_sorted(plan.begin(), plan.end(),
                       [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; }));
  const auto again = make_plan(e);
  CHECK(again.back().work_ms == plan.back().work_ms);
}

TEST_CASE("percentiles match the sorted latencies and survive the JSON round trip") {
  stream_report r;
  std::vector<double> latencies;
  for (int i = 100; i >= 0; --i) {
    latencies.push_back(i);
  }
  summarize(latencies, r);
  CHECK(r.p50_ms == 50);
  CHECK(r.p99_ms == 99);
  CHECK(r.max_ms == 100);
  load_report report{"x", 1, {r}};
  CHECK(read_report(to_json_text(report)).value().streams[0].curve == r.curve);
  CHECK(to_html({report, report}).find("<polyline") != std::string::npos);
}

TEST_CASE("a run counts verdicts, and servers off loopback are rejected") {
  server_options options;
  options.port = 17'441;
  std::atomic<int> n{0};
  const http_server server(options, [&](const http_request&, const http_respond& respond) {
    const char* text = ++n % 2 == 0 ? "answered" : "not_run";
    respond({200, "text/plain", {{"X-Monsoonmux-Verdict", text}}, ""});
  });
  const system_clock time;
  experiment e = parse_experiment(valid_yaml, "e").value();
  const auto report = load_runner(e, time).run();
  REQUIRE(report.has_value());
  const stream_report& r = report.value().streams[0];
  CHECK(r.answered + r.not_run == r.planned);
  CHECK(r.answered > 0);
  CHECK(r.not_run > 0);
  e.servers = {"10.0.0.1:80"};
  CHECK(load_runner(e, time).run().has_error());
}

}  // namespace monsoonmux
