#include "history/history_event.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <sstream>

namespace monsoonmux {
namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 17> names = {
    "worker_size",   "task_started",  "task_stopped", "limit_in_force",  "job_accepted",
    "job_cancelled", "task_recorded", "call_sent",    "call_ran",        "call_answered",
    "key_withdrawn", "key_used",      "config_seen",  "config_accepted", "runner_left",
    "stop_planned",  "request_cut"};

json to_json(const history_event& e) {
  return {{"at_ms", e.at_ms},
          {"kind", to_string(e.kind)},
          {"subject", e.subject},
          {"task", e.task},
          {"team", e.team},
          {"phase", e.phase},
          {"text", e.text},
          {"number", e.number},
          {"flag", e.flag},
          {"cpu", e.amount.cpu.value},
          {"memory", e.amount.memory.value},
          {"accelerators", e.amount.accelerators.value}};
}

history_event from_json(const json& value) {
  history_event e;
  const auto name = value.at("kind").get<std::string>();
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) {
    throw std::runtime_error("unknown kind \"" + name + "\"");
  }
  e.kind = static_cast<history_kind>(it - names.begin());
  e.at_ms = value.at("at_ms");
  e.subject = value.value("subject", "");
  e.task = value.value("task", "");
  e.team = value.value("team", "");
  e.phase = value.value("phase", "");
  e.text = value.value("text", "");
  e.number = value.value("number", std::int64_t{0});
  e.flag = value.value("flag", false);
  e.amount = {{value.value("cpu", std::int64_t{0})},
              {value.value("memory", std::int64_t{0})},
              {value.value("accelerators", std::int64_t{0})}};
  return e;
}

}  // namespace

std::string_view to_string(history_kind kind) {
  return names.at(static_cast<std::size_t>(kind));
}

std::string write_history(const history& events) {
  std::string out;
  for (const history_event& e : events) {
    out += to_json(e).dump() + "\n";
  }
  return out;
}

result<history> read_history(const std::string& lines) {
  history out;
  std::istringstream in(lines);
  std::string line;
  for (int number = 1; std::getline(in, line); ++number) {
    try {
      out.push_back(from_json(json::parse(line)));
    } catch (const std::exception& error) {
      return not_run(error_code::bad_request,
                     "line " + std::to_string(number) + ": " + error.what());
    }
  }
  return out;
}

}  // namespace monsoonmux
