#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/output.h"
#include "history/checker.h"

namespace monsoonmux {
namespace {

namespace po = boost::program_options;

class check final : public command {
 public:
  std::string name() const override { return "check"; }
  std::string summary() const override {
    return "check a history (JSON lines) against every guarantee; exits with 1 if one is broken";
  }
  std::vector<std::string> positional_names() const override { return {"history"}; }
  void add_options(po::options_description& to) const override {
    to.add_options()("incomplete", po::bool_switch(), "the run was ended before all work was done");
  }
  int run(const command_context& context) override {
    std::ifstream in(context.text("history"));
    std::ostringstream text;
    text << in.rdbuf();
    const auto events = read_history(text.str());
    if (!in || events.has_error()) {
      std::cerr << (in ? events.error().detail : "cannot read the input file") << "\n";
      return exit_usage;
    }
    checker_options options;
    options.complete = !context.given["incomplete"].as<bool>();
    const auto found = check_history(events.value(), options);
    for (const violation& v : found) {
      std::cout << to_string(v.violated) << " at " << v.at_ms << ": " << v.detail << "\n";
    }
    std::cout << events.value().size() << " events, " << found.size() << " violations\n";
    return found.empty() ? exit_done : exit_refused;
  }
};

}  // namespace

void add_check_command(command_list& to) {
  to.push_back(std::make_unique<check>());
}

}  // namespace monsoonmux
