#include "daemon/api_json.h"

namespace monsoonmux {
namespace {

using json = nlohmann::ordered_json;

const std::string verdict_header = "X-Monsoonmux-Verdict";

int status_of(error_code code) {
  switch (code) {
    case error_code::bad_request:
      return 400;
    case error_code::unauthorized:
      return 401;
    case error_code::forbidden:
      return 403;
    case error_code::not_found:
      return 404;
    case error_code::conflict:
      return 409;
    case error_code::too_large:
      return 413;
    case error_code::unsatisfiable:
      return 422;
    case error_code::overloaded:
      return 429;
    case error_code::deadline_exceeded:
      return 504;
    case error_code::connection_failed:
    case error_code::connection_lost:
    case error_code::malformed_answer:
    case error_code::refused:
      return 502;
    case error_code::unavailable:
    case error_code::shutting_down:
      return 503;
  }
  return 500;
}

json task_json(const task_state& t, std::int32_t index) {
  json out;
  out["index"] = index;
  out["phase"] = to_string(t.phase);
  out["attempt"] = t.attempt;
  out["worker"] = t.worker.text;
  out["started_ms"] = t.started_ms;
  out["ended_ms"] = t.ended_ms;
  return out;
}

std::string state_of(const job& value) {
  if (!value.unsatisfiable.empty()) {
    return "unsatisfiable";
  }
  if (value.finished()) {
    const auto bad = [](const task_state& t) { return t.phase == task_phase::failed; };
    const bool failed = std::any_of(value.tasks.begin(), value.tasks.end(), bad);
    return failed ? "failed" : value.cancelled ? "cancelled" : "succeeded";
  }
  const auto runs = [](const task_state& t) { return t.phase == task_phase::running; };
  return std::any_of(value.tasks.begin(), value.tasks.end(), runs) ? "running" : "pending";
}

}  // namespace

json resources_json(const resources& value) {
  return {{"cpu", value.cpu.value},
          {"memory", value.memory.value},
          {"accelerators", value.accelerators.value}};
}

json job_json(const job& value) {
  json out;
  out["id"] = value.spec.id.text;
  out["state"] = state_of(value);
  out["team"] = value.spec.team.text;
  out["queue"] = value.spec.queue.text;
  out["kind"] = to_string(value.spec.kind);
  out["priority"] = to_string(value.spec.priority);
  out["accepted_ms"] = value.accepted_ms;
  out["cancelled"] = value.cancelled;
  out["reason"] = value.unsatisfiable;
  out["per_task"] = resources_json(value.spec.per_task);
  out["command"] = value.spec.command;
  out["parts"] = json::array();
  for (const job_part& p : value.parts) {
    out["parts"].push_back({{"domain", p.domain.text}, {"first", p.first}, {"count", p.count}});
  }
  out["tasks"] = json::array();
  for (std::size_t i = 0; i < value.tasks.size(); ++i) {
    out["tasks"].push_back(task_json(value.tasks[i], static_cast<std::int32_t>(i)));
  }
  return out;
}

json member_json(const member& value, instant now) {
  json out;
  out["daemon"] = value.id.text;
  out["domain"] = value.last_heartbeat.domain.text;
  out["incarnation"] = value.incarnation;
  out["heard_ms_ago"] = (now - value.last_heartbeat_at).value;
  out["draining"] = value.last_heartbeat.draining;
  out["config_version"] = value.last_heartbeat.version.value;
  out["log_next"] = value.last_heartbeat.next.value;
  out["http"] = value.last_heartbeat.http;
  out["places"] = json::array();
  for (const placement_info& p : value.last_heartbeat.placing) {
    out["places"].push_back(p.domain.text);
  }
  return out;
}

json placer_json(const placer_status& value) {
  json out;
  out["domain"] = value.domain.text;
  out["phase"] = to_string(value.phase);
  out["epoch"] = value.number.value;
  out["capacity"] = resources_json(value.capacity);
  out["free"] = resources_json(value.free);
  out["running"] = value.running;
  out["waiting"] = value.waiting;
  out["workers"] = value.workers;
  out["aside"] = value.quarantined;
  return out;
}

json worker_json(const worker_view& value) {
  json out;
  out["worker"] = value.host.worker.text;
  out["domain"] = value.host.domain.text;
  out["rack"] = value.host.rack.text;
  out["pool"] = value.host.pool.text;
  out["total"] = resources_json(value.host.total);
  out["free"] = resources_json(value.free);
  out["tasks"] = value.tasks;
  out["usable"] = value.usable;
  out["aside"] = value.quarantined;
  out["leaving"] = value.host.leaving;
  out["silent_ms"] = value.since_report.value;
  return out;
}

json change_json(const config_change& value) {
  json out;
  out["version"] = value.version.value;
  out["author"] = value.author;
  out["wall_ms"] = value.wall_ms;
  out["patch"] = json::parse(value.patch);
  return out;
}

http_response ok_response(const json& body) {
  http_response out;
  out.headers.push_back({verdict_header, std::string(to_string(verdict::answered))});
  out.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return out;
}

http_response error_response(const failure& f) {
  http_response out;
  out.status = status_of(f.code);
  out.headers.push_back({verdict_header, std::string(to_string(f.effect))});
  json body;
  body["verdict"] = to_string(f.effect);
  body["error"] = to_string(f.code);
  body["detail"] = f.detail;
  out.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return out;
}

}  // namespace monsoonmux
