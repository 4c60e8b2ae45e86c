#include "config/settings.h"

#include <catch2/catch.hpp>

namespace monsoonmux {
namespace {

const std::string good =
    "daemon: d1\n"
    "domain: dambulla\n"
    "http: 127.0.0.1:7001\n"
    "peer: 127.0.0.1:7101\n"
    "peers: [127.0.0.1:7101]\n"
    "log: 127.0.0.1:7900\n"
    "hosts: 127.0.0.1:7900\n"
    "peer_secret: 0123456789abcdef\n"
    "operator_key_hash: 0123456789012345678901234567890123456789012345678901234567890123\n";

std::string with_line(const std::string& line) {
  return good + line + "\n";
}

std::string replaced(const std::string& key, const std::string& value) {
  std::string text = good;
  const auto start = text.find(key + ":");
  const auto end = text.find('\n', start);
  return text.replace(start, end - start, key + ": " + value);
}

std::string problem(const std::string& text) {
  const auto parsed = parse_settings(text, "f.yaml");
  return parsed.has_error() ? parsed.error().detail : "accepted";
}

}  // namespace

TEST_CASE("valid settings are accepted") {
  const auto parsed = parse_settings(good, "f.yaml");
  REQUIRE(parsed.has_value());
  CHECK(parsed.value().http == endpoint{"127.0.0.1", 7001});
}

TEST_CASE("each error in a settings file is reported with file, line and key") {
  struct sample {
    std::string text;
    std::string expected;
  };
  const std::vector<sample> samples = {
      {with_line("colour: red"), "f.yaml:10: colour: unknown key"},
      {with_line("http_threads: many"),
       "f.yaml:10: http_threads: expected an integer from 1 to 64"},
      {with_line("http_threads: 65"), "f.yaml:10: http_threads: expected an integer from 1 to 64"},
      {replaced("http", "localhost"), "f.yaml:3: http: expected A.B.C.D:PORT"},
      {replaced("peer", "127.0.0.1:0"), "f.yaml:4: peer: expected A.B.C.D:PORT"},
      {replaced("peers", "127.0.0.1:1"), "f.yaml:5: peers: expected a list"},
      {replaced("peer_secret", "short"), "f.yaml:8: peer_secret: expected a text of at least 16"},
      {with_line("elector_lease_ms: 600"), "f.yaml:10: elector_lease_ms: expected at least four"},
      {with_line("task_lease_ms: 3000"), "f.yaml:10: task_lease_ms: expected at least elector"},
      {"daemon: [", "f.yaml:1:"},
  };
  for (const sample& s : samples) {
    CHECK(problem(s.text).find(s.expected) == 0);
  }
  CHECK(problem("domain: x\n").find("f.yaml:1: daemon: is required") == 0);
  CHECK(problem("- x\n").find("f.yaml:1:") == 0);
}

}  // namespace monsoonmux
