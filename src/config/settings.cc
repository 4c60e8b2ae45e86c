// Reads the settings file. Each key is declared once, with its range, in read_all(). The
// reader collects all errors with their lines instead of stopping at the first, so that an
// operator can correct a file in one pass.

#include "config/settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace monsoonmux {
namespace {

constexpr int max_port = 65'535;
constexpr std::size_t min_secret_chars = 16;
constexpr std::size_t hash_hex_digits = 64;

class yaml_reader {
 public:
  yaml_reader(const YAML::Node& root, std::string file) : root(root), file(std::move(file)) {}

  std::string text(const std::string& key, std::size_t min_length) {
    const YAML::Node node = this->find(key);
    if (!node) {
      this->problem(this->root, key, "is required");
      return {};
    }
    if (!node.IsScalar() || node.Scalar().size() < min_length) {
      this->problem(node, key,
                    "expected a text of at least " + std::to_string(min_length) + " characters");
      return {};
    }
    return node.Scalar();
  }

  std::int64_t integer(const std::string& key, std::int64_t low, std::int64_t high,
                       std::int64_t fallback) {
    const YAML::Node node = this->find(key);
    if (!node) {
      return fallback;
    }
    std::int64_t value = 0;
    const bool parsed = node.IsScalar() && parse_integer(node.Scalar(), value);
    if (!parsed || value < low || value > high) {
      this->problem(
          node, key,
          "expected an integer from " + std::to_string(low) + " to " + std::to_string(high));
      return fallback;
    }
    return value;
  }

  endpoint address(const std::string& key) {
    const std::string value = this->text(key, 1);
    return value.empty() ? endpoint{} : this->parse_address(this->find(key), key, value);
  }

  std::vector<endpoint> addresses(const std::string& key) {
    std::vector<endpoint> out;
    const YAML::Node node = this->find(key);
    if (!node || !node.IsSequence()) {
      this->problem(node ? node : this->root, key, "expected a list of A.B.C.D:PORT");
      return out;
    }
    for (const YAML::Node& item : node) {
      out.push_back(this->parse_address(item, key, item.IsScalar() ? item.Scalar() : ""));
    }
    return out;
  }

  void reject_unknown() {
    for (const auto& item : this->root) {
      const std::string key = item.first.Scalar();
      if (this->known_keys.count(key) == 0) {
        this->problem(item.first, key, "unknown key");
      }
    }
  }

  void problem(const YAML::Node& node, const std::string& key, const std::string& reason) {
    this->problems << this->file << ":" << node.Mark().line + 1 << ": " << key << ": " << reason
                   << "\n";
  }

  YAML::Node find(const std::string& key) {
    this->known_keys.insert(key);
    return this->root[key];
  }

  std::string report() const { return this->problems.str(); }

 private:
  static bool parse_integer(const std::string& text, std::int64_t& value) {
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
  }

  endpoint parse_address(const YAML::Node& node, const std::string& key, const std::string& text) {
    auto parsed = parse_endpoint(text);
    if (parsed.has_error()) {
      this->problem(node, key, "expected A.B.C.D:PORT, a port from 1 to 65535");
      return {};
    }
    return parsed.value();
  }

  const YAML::Node root;
  std::string file;
  std::set<std::string> known_keys;
  std::ostringstream problems;
};

settings read_all(yaml_reader& in) {
  settings out;
  out.daemon = daemon_id(in.text("daemon", 1));
  out.domain = domain_id(in.text("domain", 1));
  out.http = in.address("http");
  out.peer = in.address("peer");
  out.peers = in.addresses("peers");
  out.log = in.address("log");
  out.hosts = in.address("hosts");
  out.peer_secret = in.text("peer_secret", min_secret_chars);
  out.operator_key_hash = in.text("operator_key_hash", hash_hex_digits);
  out.http_threads = static_cast<int>(in.integer("http_threads", 1, 64, out.http_threads));
  out.call_threads = static_cast<int>(in.integer("call_threads", 1, 512, out.call_threads));
  out.max_body_bytes = in.integer("max_body_bytes", 1'024, 64 << 20, out.max_body_bytes);
  out.max_connections = in.integer("max_connections", 8, 65'536, out.max_connections);
  out.header_timeout.value = in.integer("header_timeout_ms", 100, 60'000, out.header_timeout.value);
  out.heartbeat.value = in.integer("heartbeat_ms", 50, 5'000, out.heartbeat.value);
  out.elector_lease.value = in.integer("elector_lease_ms", 500, 60'000, out.elector_lease.value);
  out.task_lease.value = in.integer("task_lease_ms", 1'000, 120'000, out.task_lease.value);
  out.drain_timeout.value = in.integer("drain_timeout_ms", 0, 600'000, out.drain_timeout.value);
  return out;
}

void check_relations(yaml_reader& in, const settings& out) {
  if (out.elector_lease < out.heartbeat * 4) {
    in.problem(in.find("elector_lease_ms"), "elector_lease_ms",
               "expected at least four times heartbeat_ms");
  }
  if (out.task_lease < out.elector_lease) {
    in.problem(in.find("task_lease_ms"), "task_lease_ms", "expected at least elector_lease_ms");
  }
}

}  // namespace

result<endpoint> parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  int port = 0;
  if (colon == std::string::npos || colon == 0) {
    return not_run(error_code::bad_request, "expected A.B.C.D:PORT");
  }
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, last, port);
  if (parsed.ec != std::errc{} || parsed.ptr != last || port < 1 || port > max_port) {
    return not_run(error_code::bad_request, "expected a port from 1 to 65535");
  }
  const std::string address = text.substr(0, colon);
  int dots = 0;
  for (const char c : address) {
    if (c == '.') {
      ++dots;
    } else if (c < '0' || c > '9') {
      return not_run(error_code::bad_request, "expected an IPv4 address");
    }
  }
  if (dots != 3) {
    return not_run(error_code::bad_request, "expected an IPv4 address");
  }
  return endpoint{address, port};
}

result<settings> parse_settings(const std::string& yaml_text, const std::string& name) {
  try {
    const YAML::Node root = YAML::Load(yaml_text);
    if (!root.IsMap()) {
      return not_run(error_code::bad_request, name + ":1: expected a mapping of keys to values\n");
    }
    yaml_reader in(root, name);
    settings out = read_all(in);
    in.reject_unknown();
    if (in.report().empty()) {
      check_relations(in, out);
    }
    if (const std::string problems = in.report(); !problems.empty()) {
      return not_run(error_code::bad_request, problems);
    }
    return out;
  } catch (const YAML::Exception& error) {
    return not_run(error_code::bad_request,
                   name + ":" + std::to_string(error.mark.line + 1) + ": " + error.msg + "\n");
  }
}

result<settings> load_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return not_run(error_code::not_found, path + ": cannot be read\n");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parse_settings(text.str(), path);
}

}  // namespace monsoonmux
