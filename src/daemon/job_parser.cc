#include "daemon/job_parser.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "config/key_ring.h"

namespace monsoonmux {
namespace {

using json = nlohmann::json;

constexpr std::int64_t max_tasks = 5'000;
constexpr std::int64_t max_amount = 1'000'000'000;
constexpr std::int64_t max_runtime_ms = 30LL * 24 * 3'600'000;
constexpr std::int64_t max_attempts = 20;
constexpr std::size_t max_command_bytes = 4'096;
constexpr std::size_t max_key_bytes = 128;
constexpr std::size_t id_digits = 20;

struct invalid_request {
  std::string detail;
};

std::int64_t integer(const json& from, const std::string& name, std::int64_t low, std::int64_t high,
                     std::int64_t fallback) {
  const auto it = from.find(name);
  if (it == from.end()) {
    return fallback;
  }
  if (!it->is_number_integer() || *it < low || *it > high) {
    throw invalid_request{name + ": expected an integer from " + std::to_string(low) + " to " +
                          std::to_string(high)};
  }
  return it->get<std::int64_t>();
}

std::string text(const json& from, const std::string& name, std::size_t max_bytes) {
  const auto it = from.find(name);
  if (it == from.end()) {
    return {};
  }
  if (!it->is_string() || it->get_ref<const std::string&>().size() > max_bytes) {
    throw invalid_request{name + ": expected a string of at most " + std::to_string(max_bytes) +
                          " bytes"};
  }
  return it->get<std::string>();
}

void refuse_unknown(const json& from, const std::set<std::string>& known) {
  for (const auto& item : from.items()) {
    if (known.count(item.key()) == 0) {
      throw invalid_request{item.key() + ": unknown member"};
    }
  }
}

resources read_per_task(const json& body) {
  const json amount = body.value("per_task", json::object());
  if (!amount.is_object()) {
    throw invalid_request{"per_task: expected an object"};
  }
  refuse_unknown(amount, {"cpu", "memory", "accelerators"});
  const resources out = {{integer(amount, "cpu", 0, max_amount, 1'000)},
                         {integer(amount, "memory", 0, max_amount, 256)},
                         {integer(amount, "accelerators", 0, max_amount, 0)}};
  if (out.zero()) {
    throw invalid_request{"per_task: expected at least one amount above 0"};
  }
  return out;
}

work_kind read_kind(const json& body) {
  const std::string name = body.contains("kind") ? text(body, "kind", 16) : "batch";
  for (const auto kind : {work_kind::batch, work_kind::service, work_kind::gang}) {
    if (name == to_string(kind)) {
      return kind;
    }
  }
  throw invalid_request{"kind: expected \"batch\", \"service\" or \"gang\""};
}

urgency read_priority(const json& body) {
  const std::string name = body.contains("priority") ? text(body, "priority", 16) : "normal";
  if (name != "normal" && name != "urgent") {
    throw invalid_request{"priority: expected \"normal\" or \"urgent\""};
  }
  return name == "urgent" ? urgency::urgent : urgency::normal;
}

job_spec read_spec(const http_request& request) {
  const json body = json::parse(request.body);
  if (!body.is_object()) {
    throw invalid_request{"expected a JSON object"};
  }
  refuse_unknown(body, {"queue", "kind", "priority", "tasks", "per_task", "declared_runtime_ms",
                        "max_attempts", "idempotent", "command", "idempotency_key"});
  job_spec out;
  out.queue = queue_id(text(body, "queue", 64));
  out.kind = read_kind(body);
  out.priority = read_priority(body);
  out.tasks = static_cast<std::int32_t>(integer(body, "tasks", 1, max_tasks, 1));
  out.per_task = read_per_task(body);
  out.declared_runtime.value = integer(body, "declared_runtime_ms", 1, max_runtime_ms, 60'000);
  out.max_attempts = static_cast<std::int32_t>(integer(body, "max_attempts", 1, max_attempts, 3));
  if (body.contains("idempotent")) {
    if (!body["idempotent"].is_boolean()) {
      throw invalid_request{"idempotent: expected true or false"};
    }
    out.idempotent = body["idempotent"];
  }
  out.command = text(body, "command", max_command_bytes);
  out.idempotency_key = text(body, "idempotency_key", max_key_bytes);
  if (const std::string header = request.header("Idempotency-Key"); !header.empty()) {
    if (header.size() > max_key_bytes) {
      throw invalid_request{"Idempotency-Key: expected at most " + std::to_string(max_key_bytes) +
                            " bytes"};
    }
    out.idempotency_key = header;
  }
  return out;
}

}  // namespace

result<job_spec> parse_job(const http_request& request) {
  try {
    return read_spec(request);
  } catch (const invalid_request& error) {
    return not_run(error_code::bad_request, error.detail);
  } catch (const json::exception& error) {
    return not_run(error_code::bad_request, error.what());
  }
}

job_id job_id_of(const team_id& team, const std::string& idempotency_key) {
  return job_id("j-" + hash_key(team.text + "\n" + idempotency_key).substr(0, id_digits));
}

}  // namespace monsoonmux
