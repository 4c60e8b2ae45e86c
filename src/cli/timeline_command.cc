// Merges the events of several daemons into one time line. Events are sorted by
// logical time, which puts a cause before its effect if messages connect the two, and
// by wall time among events with the same logical time.

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include "cli/output.h"

namespace monsoonmux {
namespace {

namespace po = boost::program_options;
using json = nlohmann::ordered_json;

bool is_event(const json& line) {
  return line.is_object() && line.contains("event");
}

std::vector<json> read_files(const std::vector<std::string>& files) {
  std::vector<json> out;
  for (const std::string& file : files) {
    std::ifstream in(file);
    std::string line;
    while (std::getline(in, line)) {
      json parsed = json::parse(line, nullptr, false);
      if (is_event(parsed)) {
        out.push_back(std::move(parsed));
      }
    }
  }
  return out;
}

std::vector<json> read_daemons(const command_context& context, int& code) {
  std::vector<json> out;
  const json members = body_of(context.servers.send("GET", "/v1/members"), code);
  if (code != exit_done) {
    return out;
  }
  for (const json& m : members) {
    std::vector<std::string> one = {m["http"].get<std::string>()};
    server_client client(one, context.text("key"));
    const auto answer = client.send("GET", "/v1/timeline");
    if (answer.has_error() || answer.value().status != 200) {
      std::cerr << "no time line from " << one[0] << "\n";
      continue;
    }
    for (const json& event : json::parse(answer.value().body)) {
      out.push_back(event);
    }
  }
  return out;
}

bool matches(const json& event, const std::string& id) {
  if (id.empty()) {
    return true;
  }
  return std::any_of(event.items().begin(), event.items().end(), [&](const auto& item) {
    return item.value().is_string() &&
           item.value().template get_ref<const std::string&>().find(id) != std::string::npos;
  });
}

std::string detail_of(const json& event) {
  std::string out;
  for (const auto& item : event.items()) {
    const std::string& name = item.key();
    if (name == "wall_ms" || name == "mono_ms" || name == "logical" || name == "daemon" ||
        name == "incarnation" || name == "event") {
      continue;
    }
    out += (out.empty() ? "" : " ") + name + "=" + cell_text(item.value());
  }
  return out;
}

std::string escape(const std::string& text) {
  std::string out;
  for (const char c : text) {
    out += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
  }
  return out;
}

// A self-contained HTML page with one column per daemon.
std::string html_of(const std::vector<json>& events) {
  std::map<std::string, std::size_t> columns;
  for (const json& e : events) {
    columns.emplace(cell_text(e["daemon"]), columns.size());
  }
  std::ostringstream out;
  out << "<!doctype html><meta charset=\"utf-8\"><title>time line</title>"
         "<style>body{font:12px monospace}td,th{padding:1px 8px;vertical-align:top;"
         "border-left:1px solid #ccc;text-align:left}</style><table><tr><th>time";
  for (const auto& [name, column] : columns) {
    out << "<th>" << escape(name);
  }
  for (const json& e : events) {
    out << "\n<tr><td>" << clock_text(e["wall_ms"]);
    for (const auto& [name, column] : columns) {
      out << "<td>";
      if (name == cell_text(e["daemon"])) {
        out << "<b>" << escape(cell_text(e["event"])) << "</b> " << escape(detail_of(e));
      }
    }
  }
  out << "\n</table>\n";
  return out.str();
}

class timeline final : public command {
 public:
  std::string name() const override { return "timeline"; }
  std::string summary() const override {
    return "merge the events of all live daemons, or of log files, in causal order";
  }
  void add_options(po::options_description& to) const override {
    to.add_options()("file", po::value<std::vector<std::string>>()->multitoken(),
                     "read these log files instead of asking the daemons")(
        "id", po::value<std::string>(),
        "only events with a field that contains this: a job, task, team ...")(
        "html", po::value<std::string>(),
        "write an HTML page with one column per process to this file");
  }
  int run(const command_context& context) override {
    int code = exit_done;
    std::vector<json> events =
        context.given.count("file") != 0
            ? read_files(context.given["file"].as<std::vector<std::string>>())
            : read_daemons(context, code);
    if (code != exit_done) {
      return code;
    }
    const std::string id = context.text("id");
    std::erase_if(events, [&](const json& e) { return !matches(e, id); });
    std::stable_sort(events.begin(), events.end(), [](const json& a, const json& b) {
      return std::make_pair(a.at("logical").get<std::int64_t>(),
                            a.at("wall_ms").get<std::int64_t>()) <
             std::make_pair(b.at("logical").get<std::int64_t>(),
                            b.at("wall_ms").get<std::int64_t>());
    });
    if (const std::string file = context.text("html"); !file.empty()) {
      std::ofstream(file) << html_of(events);
      return exit_done;
    }
    if (context.json) {
      for (const json& e : events) {
        std::cout << e.dump() << "\n";
      }
      return exit_done;
    }
    table out({"TIME", "DAEMON", "EVENT", "DETAIL"});
    for (const json& e : events) {
      out.add(
          {clock_text(e["wall_ms"]), cell_text(e["daemon"]), cell_text(e["event"]), detail_of(e)});
    }
    out.print();
    return exit_done;
  }
};

}  // namespace

void add_timeline_command(command_list& to) {
  to.push_back(std::make_unique<timeline>());
}

}  // namespace monsoonmux
