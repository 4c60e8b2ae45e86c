#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/output.h"
#include "load/load_runner.h"

namespace monsoonmux {
namespace {

namespace po = boost::program_options;

std::string read_file(const std::string& path, bool& ok) {
  std::ifstream in(path);
  ok = static_cast<bool>(in);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

std::string rounded(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", value);
  return text;
}

std::vector<std::string> row_of(const stream_report& s) {
  return {s.name,
          std::to_string(s.planned),
          std::to_string(s.answered),
          std::to_string(s.not_run),
          std::to_string(s.may_have_run),
          rounded(s.p50_ms),
          rounded(s.p95_ms),
          rounded(s.p99_ms),
          rounded(s.max_ms),
          rounded(s.per_second)};
}

const std::vector<std::string> column_names = {"STREAM",       "PLANNED", "ANSWERED", "NOT RUN",
                                               "MAY HAVE RUN", "P50 MS",  "P95 MS",   "P99 MS",
                                               "MAX MS",       "PER S"};

class load_run final : public command {
 public:
  std::string name() const override { return "load run"; }
  std::string summary() const override { return "run a load experiment (YAML) on loopback"; }
  std::vector<std::string> positional_names() const override { return {"experiment"}; }
  void add_options(po::options_description& to) const override {
    to.add_options()("report", po::value<std::string>(), "write the report as JSON to this file")(
        "html", po::value<std::string>(), "write an HTML page with latency curves to this file")(
        "history", po::value<std::string>(),
        "write the events that the callers observed, for `check`, to this file");
  }
  int run(const command_context& context) override {
    bool ok = false;
    const std::string file = context.text("experiment");
    const std::string text = read_file(file, ok);
    const auto parsed =
        ok ? parse_experiment(text, file)
           : result<experiment>(not_run(error_code::not_found, file + ": cannot be read"));
    if (parsed.has_error()) {
      std::cerr << parsed.error().detail << "\n";
      return exit_usage;
    }
    const system_clock time;
    load_runner runner(parsed.value(), time);
    auto report = runner.run();
    if (report.has_error()) {
      std::cerr << report.error().detail << "\n";
      return exit_usage;
    }
    report.value().experiment = file;
    write(context.text("report"), to_json_text(report.value()));
    write(context.text("html"), to_html({report.value()}));
    write(context.text("history"), write_history(runner.observed_history()));
    if (context.json) {
      std::cout << to_json_text(report.value());
      return exit_done;
    }
    table out(column_names);
    for (const stream_report& s : report.value().streams) {
      out.add(row_of(s));
    }
    out.print();
    return exit_done;
  }

 private:
  static void write(const std::string& path, const std::string& text) {
    if (!path.empty()) {
      std::ofstream(path) << text;
    }
  }
};

class load_compare final : public command {
 public:
  std::string name() const override { return "load compare"; }
  std::string summary() const override { return "show two reports side by side"; }
  std::vector<std::string> positional_names() const override { return {"before", "after"}; }
  void add_options(po::options_description& to) const override {
    to.add_options()("html", po::value<std::string>(),
                     "write an HTML page with both reports to this file");
  }
  int run(const command_context& context) override {
    std::vector<load_report> reports;
    for (const char* word : {"before", "after"}) {
      bool ok = false;
      const auto report = read_report(read_file(context.text(word), ok));
      if (!ok || report.has_error()) {
        std::cerr << context.text(word) << ": not a readable load report\n";
        return exit_usage;
      }
      reports.push_back(report.value());
    }
    if (const std::string html = context.text("html"); !html.empty()) {
      std::ofstream(html) << to_html(reports);
    }
    table out(column_names);
    for (const stream_report& before : reports[0].streams) {
      out.add(row_of(before));
      for (const stream_report& after : reports[1].streams) {
        if (after.name == before.name) {
          std::vector<std::string> row = row_of(after);
          row[0] = "  after";
          out.add(row);
        }
      }
    }
    out.print();
    return exit_done;
  }
};

}  // namespace

void add_load_commands(command_list& to) {
  to.push_back(std::make_unique<load_run>());
  to.push_back(std::make_unique<load_compare>());
}

}  // namespace monsoonmux
