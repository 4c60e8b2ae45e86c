#include <algorithm>
#include <iostream>

#include "cli/output.h"

namespace monsoonmux {
namespace {

namespace po = boost::program_options;
using json = nlohmann::ordered_json;

// Fetches a JSON array of objects and prints it as a table with the given members as
// columns.
class view final : public command {
 public:
  view(std::string command_name, std::string path, std::string description,
       std::vector<std::string> columns)
      : command_name(std::move(command_name)),
        path(std::move(path)),
        description(std::move(description)),
        columns(std::move(columns)) {}

  std::string name() const override { return this->command_name; }
  std::string summary() const override { return this->description; }
  int run(const command_context& context) override {
    int code = exit_done;
    const json body = body_of(context.servers.send("GET", this->path), code);
    if (code != exit_done) {
      return code;
    }
    if (context.json) {
      std::cout << body.dump() << "\n";
      return code;
    }
    std::vector<std::string> column_names;
    for (const std::string& column : this->columns) {
      std::string upper = column;
      std::transform(upper.begin(), upper.end(), upper.begin(),
                     [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
      column_names.push_back(upper);
    }
    table out(column_names);
    for (const json& item : body) {
      std::vector<std::string> row;
      for (const std::string& column : this->columns) {
        row.push_back(cell_text(item[column]));
      }
      out.add(row);
    }
    out.print();
    return code;
  }

 private:
  std::string command_name;
  std::string path;
  std::string description;
  std::vector<std::string> columns;
};

class call final : public command {
 public:
  std::string name() const override { return "call"; }
  std::string summary() const override { return "send one call to a queue and print the answer"; }
  std::vector<std::string> positional_names() const override { return {"queue", "path"}; }
  void add_options(po::options_description& to) const override {
    to.add_options()("method", po::value<std::string>()->default_value("GET"), "HTTP method")(
        "body", po::value<std::string>()->default_value(""), "request body")(
        "deadline-ms", po::value<std::string>(),
        "deadline in milliseconds; the queue's deadline is the maximum")(
        "idempotency-key", po::value<std::string>(), "allows a POST to be retried");
  }
  int run(const command_context& context) override {
    std::vector<header_field> headers;
    if (const std::string ms = context.text("deadline-ms"); !ms.empty()) {
      headers.push_back({"X-Deadline-Ms", ms});
    }
    if (const std::string key = context.text("idempotency-key"); !key.empty()) {
      headers.push_back({"Idempotency-Key", key});
    }
    const auto answer = context.servers.send(
        context.text("method"),
        "/v1/queues/" + context.text("queue") + "/calls/" + context.text("path"),
        context.text("body"), headers);
    const int code = exit_code_of(answer);
    if (code == exit_done) {
      std::cout << answer.value().body << "\n";
    }
    return code;
  }
};

}  // namespace

void add_view_commands(command_list& to) {
  const auto add = [&to](const char* command_name, const char* path, const char* description,
                         std::vector<std::string> columns) {
    to.push_back(std::make_unique<view>(command_name, path, description, std::move(columns)));
  };
  add("workers", "/v1/workers", "list the workers that this daemon places on",
      {"worker", "domain", "rack", "pool", "tasks", "usable", "aside", "leaving", "free"});
  add("runners", "/v1/runners", "list the runners and their locally free slots",
      {"runner", "pool", "domain", "slots", "free_here", "leaving", "address"});
  add("members", "/v1/members", "list the daemons",
      {"daemon", "domain", "heard_ms_ago", "draining", "config_version", "log_next", "places"});
  add("placers", "/v1/placers", "list the domains and whether this daemon places in each",
      {"domain", "phase", "epoch", "running", "waiting", "workers", "free"});
}

void add_call_command(command_list& to) {
  to.push_back(std::make_unique<call>());
}

}  // namespace monsoonmux
