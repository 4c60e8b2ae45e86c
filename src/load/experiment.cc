#include "load/experiment.h"

#include <yaml-cpp/yaml.h>

#include <set>

namespace monsoonmux {
namespace {

struct invalid {
  std::string detail;
};

constexpr double max_per_second = 100'000;
constexpr std::int64_t max_duration_ms = 3'600'000;
constexpr int max_threads = 1'024;
constexpr std::int64_t max_body = 1 << 20;

[[noreturn]] void refuse(const YAML::Node& at, const std::string& what) {
  throw invalid{std::to_string(at.Mark().line + 1) + ": " + what};
}

void refuse_unknown(const YAML::Node& node, const std::set<std::string>& known) {
  if (!node.IsMap()) {
    refuse(node, "expected a mapping");
  }
  for (const auto& item : node) {
    if (known.count(item.first.Scalar()) == 0) {
      refuse(item.first, item.first.Scalar() + ": unknown key");
    }
  }
}

template <class T>
T number(const YAML::Node& node, const std::string& key, T low, T high, T fallback) {
  const YAML::Node value = node[key];
  if (!value) {
    return fallback;
  }
  T out{};
  if (!YAML::convert<T>::decode(value, out) || out < low || out > high) {
    refuse(value,
           key + ": expected a number from " + std::to_string(low) + " to " + std::to_string(high));
  }
  return out;
}

std::string text(const YAML::Node& node, const std::string& key) {
  return node[key] ? node[key].as<std::string>() : "";
}

call_stream read_stream(const YAML::Node& node) {
  refuse_unknown(node, {"name", "key", "queue", "per_second", "arrival", "work", "work_ms",
                        "method", "body_bytes", "deadline_ms", "direct"});
  call_stream out;
  out.name = text(node, "name");
  out.key = text(node, "key");
  out.queue = text(node, "queue");
  out.direct = text(node, "direct");
  if (out.name.empty() || (out.queue.empty() && out.direct.empty())) {
    refuse(node, "a stream needs a name, and a queue or direct");
  }
  out.per_second = number(node, "per_second", 0.001, max_per_second, 1.0);
  out.work_ms = number(node, "work_ms", 0.0, 1e6, 0.0);
  out.body_bytes =
      static_cast<std::size_t>(number<std::int64_t>(node, "body_bytes", 0, max_body, 0));
  out.deadline.value = number<std::int64_t>(node, "deadline_ms", 1, 600'000, 2'000);
  if (const std::string method = text(node, "method"); !method.empty()) {
    out.method = method;
  }
  const std::string arrival = text(node, "arrival");
  const std::string work = text(node, "work");
  if (!arrival.empty() && arrival != "poisson" && arrival != "uniform") {
    refuse(node["arrival"], "arrival: expected poisson or uniform");
  }
  if (!work.empty() && work != "fixed" && work != "exponential" && work != "pareto") {
    refuse(node["work"], "work: expected fixed, exponential or pareto");
  }
  out.arrival = arrival == "uniform" ? arrivals::uniform : arrivals::poisson;
  out.work = work == "exponential" ? work_shape::exponential
             : work == "pareto"    ? work_shape::pareto
                                   : work_shape::fixed;
  return out;
}

experiment read_experiment(const YAML::Node& root) {
  refuse_unknown(root, {"seed", "duration_ms", "threads", "servers", "streams"});
  experiment out;
  out.seed = number<std::uint32_t>(root, "seed", 0, UINT32_MAX, 1);
  out.duration.value = number<std::int64_t>(root, "duration_ms", 1, max_duration_ms, 10'000);
  out.threads = number(root, "threads", 1, max_threads, 64);
  for (const YAML::Node& server : root["servers"]) {
    out.servers.push_back(server.as<std::string>());
  }
  for (const YAML::Node& stream : root["streams"]) {
    out.streams.push_back(read_stream(stream));
  }
  if (out.streams.empty()) {
    refuse(root, "streams: expected at least one");
  }
  return out;
}

}  // namespace

result<experiment> parse_experiment(const std::string& yaml_text, const std::string& name) {
  try {
    return read_experiment(YAML::Load(yaml_text));
  } catch (const invalid& error) {
    return not_run(error_code::bad_request, name + ":" + error.detail);
  } catch (const YAML::Exception& error) {
    return not_run(error_code::bad_request,
                   name + ":" + std::to_string(error.mark.line + 1) + ": " + error.msg);
  }
}

}  // namespace monsoonmux
