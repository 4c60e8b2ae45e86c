#include "platform_http/worker_json.h"

namespace monsoonmux {
namespace {

using json = nlohmann::json;

json run_json(const task_run& run) {
  return {{"task", run.task.text()}, {"attempt", run.attempt}};
}

task_run read_run(const json& value) {
  return {parse_task_id(value.at("task")), value.at("attempt")};
}

report_phase read_phase(const std::string& text) {
  for (const auto phase : {report_phase::running, report_phase::succeeded, report_phase::failed}) {
    if (text == to_string(phase)) {
      return phase;
    }
  }
  return report_phase::stopped;
}

}  // namespace

std::string_view to_string(report_phase phase) {
  switch (phase) {
    case report_phase::running:
      return "running";
    case report_phase::succeeded:
      return "succeeded";
    case report_phase::failed:
      return "failed";
    case report_phase::stopped:
      return "stopped";
  }
  return "stopped";
}

json to_json(const resources& value) {
  return {{"cpu", value.cpu.value},
          {"memory", value.memory.value},
          {"accelerators", value.accelerators.value}};
}

resources read_resources(const json& value) {
  return {{value.at("cpu")}, {value.at("memory")}, {value.at("accelerators")}};
}

json to_json(const placement_lease_request& value) {
  return {{"domain", value.domain.text},
          {"holder", value.holder},
          {"ttl_ms", value.ttl.value},
          {"epoch", value.number.value}};
}

placement_lease_request read_placement_lease_request(const json& value) {
  return {domain_id(value.at("domain").get<std::string>()),
          value.at("holder"),
          {value.at("ttl_ms")},
          {value.at("epoch")}};
}

json to_json(const placement_lease_answer& value) {
  return {{"granted", value.granted},
          {"epoch", value.recorded.value},
          {"uptime_ms", value.uptime.value}};
}

placement_lease_answer read_placement_lease_answer(const json& value) {
  return {value.at("granted"), {value.at("epoch")}, {value.at("uptime_ms")}};
}

json to_json(const sync_request& value) {
  json ended = json::array();
  for (const task_run& run : value.ended) {
    ended.push_back(run_json(run));
  }
  return {{"domain", value.domain.text},   {"epoch", value.number.value},
          {"lease_ms", value.lease.value}, {"not_after", value.not_after},
          {"since", value.since},          {"ended", ended}};
}

sync_request read_sync_request(const json& value) {
  sync_request out;
  out.domain = domain_id(value.at("domain").get<std::string>());
  out.number.value = value.at("epoch");
  out.lease.value = value.at("lease_ms");
  out.not_after = value.at("not_after");
  out.since = value.at("since");
  for (const json& run : value.at("ended")) {
    out.ended.push_back(read_run(run));
  }
  return out;
}

json to_json(const worker_report& value) {
  json tasks = json::array();
  for (const task_report& t : value.tasks) {
    json item = run_json({t.task, t.attempt});
    item["phase"] = to_string(t.phase);
    item["amount"] = to_json(t.amount);
    item["usage"] = to_json(t.usage);
    item["age_ms"] = t.age.value;
    item["since_checkpoint_ms"] = t.since_checkpoint.value;
    tasks.push_back(std::move(item));
  }
  return {{"now", value.now},
          {"uptime_ms", value.uptime.value},
          {"number", value.number},
          {"whole", value.whole},
          {"tasks", tasks}};
}

worker_report read_worker_report(const json& value) {
  worker_report out;
  out.now = value.at("now");
  out.uptime.value = value.at("uptime_ms");
  out.number = value.at("number");
  out.whole = value.at("whole");
  for (const json& item : value.at("tasks")) {
    const task_run run = read_run(item);
    out.tasks.push_back({run.task,
                         run.attempt,
                         read_phase(item.at("phase")),
                         read_resources(item.at("amount")),
                         read_resources(item.at("usage")),
                         {item.at("age_ms")},
                         {item.at("since_checkpoint_ms")}});
  }
  return out;
}

json to_json(const start_request& value) {
  json out = run_json(value.run);
  out["domain"] = value.domain.text;
  out["epoch"] = value.number.value;
  out["not_after"] = value.not_after;
  out["amount"] = to_json(value.amount);
  out["lease_ms"] = value.lease.value;
  out["command"] = value.command;
  return out;
}

start_request read_start_request(const json& value) {
  start_request out;
  out.domain = domain_id(value.at("domain").get<std::string>());
  out.number.value = value.at("epoch");
  out.not_after = value.at("not_after");
  out.run = read_run(value);
  out.amount = read_resources(value.at("amount"));
  out.lease.value = value.at("lease_ms");
  out.command = value.at("command");
  return out;
}

json to_json(const stop_request& value) {
  json out = run_json(value.run);
  out["domain"] = value.domain.text;
  out["epoch"] = value.number.value;
  out["not_after"] = value.not_after;
  out["checkpoint"] = value.checkpoint;
  return out;
}

stop_request read_stop_request(const json& value) {
  stop_request out;
  out.domain = domain_id(value.at("domain").get<std::string>());
  out.number.value = value.at("epoch");
  out.not_after = value.at("not_after");
  out.run = read_run(value);
  out.checkpoint = value.at("checkpoint");
  return out;
}

}  // namespace monsoonmux
