#pragma once

#include <string>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "base/quantity.h"

namespace monsoonmux {

// An IPv4 address and port, such as 127.0.0.1:7001.
struct endpoint {
  std::string address;
  int port = 0;

  bool operator==(const endpoint&) const = default;
  std::string text() const { return this->address + ":" + std::to_string(this->port); }
  std::string url() const { return "http://" + this->text(); }
};

// Settings that a daemon reads when it starts. Loaded from YAML by load_settings();
// docs/OPERATING.md lists each key with its unit and range.
struct settings {
  daemon_id daemon;
  domain_id domain;
  endpoint http;                // For callers and operators.
  endpoint peer;                // For other daemons: UDP and TCP on the same port.
  std::vector<endpoint> peers;  // Peer endpoints of all daemons; may include this one.
  endpoint log;                 // The platform's log service.
  endpoint hosts;               // The platform's list of hosts.
  std::string peer_secret;      // Authenticates messages between daemons.
  std::string operator_key_hash;

  int http_threads = 2;
  int call_threads = 32;
  std::int64_t max_body_bytes = 1 << 20;
  std::int64_t max_connections = 2'048;
  millis header_timeout{5'000};
  millis heartbeat{500};
  millis elector_lease{4'000};
  millis task_lease{10'000};
  millis drain_timeout{30'000};
};

// Reads and checks a settings file. The failure's detail has one line per
// problem, each "FILE:LINE: KEY: what is accepted".
result<settings> load_settings(const std::string& path);

// Does the same for a text in memory; errors give `name` as the name of the file.
result<settings> parse_settings(const std::string& yaml_text, const std::string& name);

// Parses "A.B.C.D:PORT".
result<endpoint> parse_endpoint(const std::string& text);

}  // namespace monsoonmux
