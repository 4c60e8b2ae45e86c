#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/output.h"

namespace monsoonmux {
namespace {

namespace po = boost::program_options;
using json = nlohmann::ordered_json;

class config_get final : public command {
 public:
  std::string name() const override { return "config get"; }
  std::string summary() const override { return "print the configuration and its version"; }
  int run(const command_context& context) override {
    int code = exit_done;
    const json body = body_of(context.servers.send("GET", "/v1/config"), code);
    if (code == exit_done) {
      std::cout << body.dump(2) << "\n";
    }
    return code;
  }
};

class config_patch_command final : public command {
 public:
  std::string name() const override { return "config patch"; }
  std::string summary() const override {
    return "apply a JSON merge patch; without --base, against the current version";
  }
  void add_options(po::options_description& to) const override {
    to.add_options()("file", po::value<std::string>(), "file with the patch; - for standard input")(
        "base", po::value<std::string>(), "version that the patch was made against")(
        "author", po::value<std::string>(), "operator name for the history of changes");
  }
  int run(const command_context& context) override {
    std::ostringstream patch;
    const std::string file = context.text("file");
    std::ifstream in(file);
    if (file.empty() || (file != "-" && !in)) {
      std::cerr << "--file: expected a file that can be read\n";
      return exit_usage;
    }
    patch << (file == "-" ? std::cin.rdbuf() : in.rdbuf());
    std::string base = context.text("base");
    int code = exit_done;
    if (base.empty()) {
      const json current = body_of(context.servers.send("GET", "/v1/config"), code);
      if (code != exit_done) {
        return code;
      }
      base = current["version"].dump();
    }
    const json body =
        body_of(context.servers.send("PATCH", "/v1/config", patch.str(),
                                     {{"If-Match", base}, {"X-Author", context.text("author")}}),
                code);
    if (code == exit_done) {
      std::cout << (context.json ? body.dump() : "version " + body["version"].dump()) << "\n";
    }
    return code;
  }
};

class config_history final : public command {
 public:
  std::string name() const override { return "config history"; }
  std::string summary() const override { return "list the changes of the configuration"; }
  int run(const command_context& context) override {
    int code = exit_done;
    const json body = body_of(context.servers.send("GET", "/v1/config/history"), code);
    if (code != exit_done) {
      return code;
    }
    if (context.json) {
      std::cout << body.dump() << "\n";
      return code;
    }
    table out({"VERSION", "TIME", "AUTHOR", "PATCH"});
    for (const json& change : body) {
      out.add({cell_text(change["version"]), clock_text(change["wall_ms"]),
               cell_text(change["author"]), change["patch"].dump()});
    }
    out.print();
    return code;
  }
};

}  // namespace

void add_config_commands(command_list& to) {
  to.push_back(std::make_unique<config_get>());
  to.push_back(std::make_unique<config_patch_command>());
  to.push_back(std::make_unique<config_history>());
}

}  // namespace monsoonmux
