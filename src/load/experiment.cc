#include "load/experiment.h"

#include <yaml-cpp/yaml.h>

#include <set>

namespace monsoonmux {
namespace {

struct invalid_experiment {
  std::string detail;
};

constexpr double max_per_second = 100'000;
constexpr std::int64_t max_duration_ms = 3'600'000;
constexpr int max_threads = 1'024;
constexpr std::int64_t max_body = 1 << 20;

[[noreturn]] void reject(const YAML::Node& node, const std::string& reason) {
  throw invalid_experiment{std::to_string(node.Mark().line + 1) + ": " + reason};
}

void reject_unknown_keys(const YAML::Node& node, const std::set<std::string>& known) {
  if (!node.IsMap()) {
    reject(node, "expected a mapping");
  }
  for (const auto& item : node) {
    if (known.count(item.first.Scalar()) == 0) {
      reject(item.first, item.first.Scalar() + ": unknown key");
    }
  }
}

template <class T>
T read_number(const YAML::Node& node, const std::string& key, T low, T high, T fallback) {
  const YAML::Node value = node[key];
  if (!value) {
    return fallback;
  }
  T out{};
  if (!YAML::convert<T>::decode(value, out) || out < low || out > high) {
    reject(value,
           key + ": expected a number from " + std::to_string(low) + " to " + std::to_string(high));
  }
  return out;
}

std::string read_text(const YAML::Node& node, const std::string& key) {
  return node[key] ? node[key].as<std::string>() : "";
}

call_stream read_stream(const YAML::Node& node) {
  reject_unknown_keys(node, {"name", "key", "queue", "per_second", "arrival", "work", "work_ms",
                             "method", "body_bytes", "deadline_ms", "direct"});
  call_stream out;
  out.name = read_text(node, "name");
  out.key = read_text(node, "key");
  out.queue = read_text(node, "queue");
  out.direct = read_text(node, "direct");
  if (out.name.empty() || (out.queue.empty() && out.direct.empty())) {
    reject(node, "a stream needs a name, and either queue or direct");
  }
  out.per_second = read_number(node, "per_second", 0.001, max_per_second, 1.0);
  out.work_ms = read_number(node, "work_ms", 0.0, 1e6, 0.0);
  out.body_bytes =
      static_cast<std::size_t>(read_number<std::int64_t>(node, "body_bytes", 0, max_body, 0));
  out.deadline.value = read_number<std::int64_t>(node, "deadline_ms", 1, 600'000, 2'000);
  if (const std::string method = read_text(node, "method"); !method.empty()) {
    out.method = method;
  }
  const std::string arrival = read_text(node, "arrival");
  const std::string work = read_text(node, "work");
  if (!arrival.empty() && arrival != "poisson" && arrival != "uniform") {
    reject(node["arrival"], "arrival: expected poisson or uniform");
  }
  if (!work.empty() && work != "fixed" && work != "exponential" && work != "pareto") {
    reject(node["work"], "work: expected fixed, exponential or pareto");
  }
  out.arrival = arrival == "uniform" ? arrival_process::uniform : arrival_process::poisson;
  out.work = work == "exponential" ? work_distribution::exponential
             : work == "pareto"    ? work_distribution::pareto
                                   : work_distribution::fixed;
  return out;
}

experiment read_experiment(const YAML::Node& root) {
  reject_unknown_keys(root, {"seed", "duration_ms", "threads", "servers", "streams"});
  experiment out;
  out.seed = read_number<std::uint32_t>(root, "seed", 0, UINT32_MAX, 1);
  out.duration.value = read_number<std::int64_t>(root, "duration_ms", 1, max_duration_ms, 10'000);
  out.threads = read_number(root, "threads", 1, max_threads, 64);
  for (const YAML::Node& server : root["servers"]) {
    out.servers.push_back(server.as<std::string>());
  }
  for (const YAML::Node& stream : root["streams"]) {
    out.streams.push_back(read_stream(stream));
  }
  if (out.streams.empty()) {
    reject(root, "streams: expected at least one");
  }
  return out;
}

}  // namespace

result<experiment> parse_experiment(const std::string& yaml_text, const std::string& name) {
  try {
    return read_experiment(YAML::Load(yaml_text));
  } catch (const invalid_experiment& error) {
    return not_run(error_code::bad_request, name + ":" + error.detail);
  } catch (const YAML::Exception& error) {
    return not_run(error_code::bad_request,
                   name + ":" + std::to_string(error.mark.line + 1) + ": " + error.msg);
  }
}

}  // namespace monsoonmux
