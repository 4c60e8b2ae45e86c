#include <iostream>

#include "cli/output.h"

namespace monsoonmux {
namespace {

namespace po = boost::program_options;
using json = nlohmann::ordered_json;

void print_tasks(const json& job) {
  std::cout << "job " << cell_text(job["id"]) << ": " << cell_text(job["kind"]) << " of team "
            << cell_text(job["team"]) << ", " << cell_text(job["state"]);
  if (!job["reason"].get<std::string>().empty()) {
    std::cout << " (" << cell_text(job["reason"]) << ")";
  }
  std::cout << "\n";
  table out({"TASK", "PHASE", "RUN", "WORKER", "STARTED", "ENDED"});
  for (const json& t : job["tasks"]) {
    out.add({cell_text(t["index"]), cell_text(t["phase"]), cell_text(t["attempt"]),
             cell_text(t["worker"]), clock_text(t["started_ms"]), clock_text(t["ended_ms"])});
  }
  out.print();
}

int show_job(const command_context& context, const result<client_answer>& answer) {
  int code = exit_done;
  const json body = body_of(answer, code);
  if (code != exit_done) {
    return code;
  }
  if (context.json) {
    std::cout << body.dump() << "\n";
  } else {
    print_tasks(body);
  }
  return code;
}

class job_submit final : public command {
 public:
  std::string name() const override { return "job submit"; }
  std::string summary() const override { return "submit a job and print its id"; }
  void add_options(po::options_description& to) const override {
    to.add_options()("queue", po::value<std::string>()->required(), "queue")(
        "kind", po::value<std::string>()->default_value("batch"), "batch, service or gang")(
        "tasks", po::value<std::int64_t>()->default_value(1), "number of tasks")(
        "cpu", po::value<std::int64_t>()->default_value(1'000), "millicores per task")(
        "memory", po::value<std::int64_t>()->default_value(256), "MiB per task")(
        "accelerators", po::value<std::int64_t>()->default_value(0), "per task")(
        "priority", po::value<std::string>()->default_value("normal"), "normal or urgent")(
        "runtime-ms", po::value<std::int64_t>()->default_value(60'000), "declared run time")(
        "command", po::value<std::string>()->default_value(""), "passed to the workers unchanged")(
        "once", po::bool_switch(), "never repeat a run that may have begun")(
        "idempotency-key", po::value<std::string>(),
        "repeated submissions with the same string create one job");
  }
  int run(const command_context& context) override {
    const auto number = [&](const char* name) { return context.given[name].as<std::int64_t>(); };
    json body;
    body["queue"] = context.text("queue");
    body["kind"] = context.text("kind");
    body["tasks"] = number("tasks");
    body["per_task"] = {{"cpu", number("cpu")},
                        {"memory", number("memory")},
                        {"accelerators", number("accelerators")}};
    body["priority"] = context.text("priority");
    body["declared_runtime_ms"] = number("runtime-ms");
    body["command"] = context.text("command");
    body["idempotent"] = !context.given["once"].as<bool>();
    if (const std::string key = context.text("idempotency-key"); !key.empty()) {
      body["idempotency_key"] = key;
    }
    int code = exit_done;
    const json answer = body_of(context.servers.send("POST", "/v1/jobs", body.dump()), code);
    if (code == exit_done) {
      std::cout << (context.json ? answer.dump() : cell_text(answer["id"])) << "\n";
    }
    return code;
  }
};

class job_show final : public command {
 public:
  std::string name() const override { return "job show"; }
  std::string summary() const override { return "show a job and its tasks"; }
  std::vector<std::string> positional_names() const override { return {"job"}; }
  int run(const command_context& context) override {
    return show_job(context, context.servers.send("GET", "/v1/jobs/" + context.text("job")));
  }
};

class job_cancel_command final : public command {
 public:
  std::string name() const override { return "job cancel"; }
  std::string summary() const override { return "cancel a job; running tasks are stopped"; }
  std::vector<std::string> positional_names() const override { return {"job"}; }
  int run(const command_context& context) override {
    return show_job(context, context.servers.send("DELETE", "/v1/jobs/" + context.text("job")));
  }
};

class job_wait final : public command {
 public:
  std::string name() const override { return "job wait"; }
  std::string summary() const override {
    return "wait until a job has ended; exits with 1 upon failure or time-out";
  }
  std::vector<std::string> positional_names() const override { return {"job"}; }
  void add_options(po::options_description& to) const override {
    to.add_options()("timeout-ms", po::value<std::int64_t>()->default_value(60'000), "0 to 600000");
  }
  int run(const command_context& context) override {
    const std::int64_t timeout = context.given["timeout-ms"].as<std::int64_t>();
    constexpr millis slack{5'000};
    const auto answer = context.servers.send(
        "GET", "/v1/jobs/" + context.text("job") + "/wait?timeout_ms=" + std::to_string(timeout),
        "", {}, millis{timeout} + slack);
    const int code = show_job(context, answer);
    if (code != exit_done) {
      return code;
    }
    const std::string state = json::parse(answer.value().body)["state"];
    return state == "succeeded" || state == "cancelled" ? exit_done : exit_refused;
  }
};

class job_list final : public command {
 public:
  std::string name() const override { return "job list"; }
  std::string summary() const override {
    return "list the team's jobs; all with the operators' key";
  }
  int run(const command_context& context) override {
    int code = exit_done;
    const json body = body_of(context.servers.send("GET", "/v1/jobs"), code);
    if (code != exit_done) {
      return code;
    }
    if (context.json) {
      std::cout << body.dump() << "\n";
      return code;
    }
    table out({"JOB", "TEAM", "KIND", "PRIORITY", "STATE", "TASKS", "ACCEPTED"});
    for (const json& job : body) {
      out.add({cell_text(job["id"]), cell_text(job["team"]), cell_text(job["kind"]),
               cell_text(job["priority"]), cell_text(job["state"]),
               std::to_string(job["tasks"].size()), clock_text(job["accepted_ms"])});
    }
    out.print();
    return code;
  }
};

}  // namespace

void add_job_commands(command_list& to) {
  to.push_back(std::make_unique<job_submit>());
  to.push_back(std::make_unique<job_show>());
  to.push_back(std::make_unique<job_list>());
  to.push_back(std::make_unique<job_cancel_command>());
  to.push_back(std::make_unique<job_wait>());
}

}  // namespace monsoonmux
