// monsoonmux: the command-line tool for operators and callers.

#include <cstdlib>
#include <iostream>

#include "cli/command.h"

namespace monsoonmux {
namespace {

namespace po = boost::program_options;

command_list all_commands() {
  command_list out;
  add_config_commands(out);
  add_key_commands(out);
  add_job_commands(out);
  add_call_command(out);
  add_view_commands(out);
  add_timeline_command(out);
  add_load_commands(out);
  add_check_command(out);
  return out;
}

void print_usage(std::ostream& out, const command_list& commands) {
  out << "monsoonmux COMMAND [options]\n\n";
  for (const auto& c : commands) {
    out << "  " << c->name() << std::string(18 - std::min<std::size_t>(17, c->name().size()), ' ')
        << c->summary() << "\n";
  }
  out << "\nmonsoonmux COMMAND --help lists a command's options.\n"
         "Exit codes: 0 done, 1 refused or not run, 2 usage, 3 may have run.\n";
}

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> out;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t end = std::min(text.find(',', at), text.size());
    out.push_back(text.substr(at, end - at));
    at = end + 1;
  }
  return out;
}

// The command whose name is the first two arguments or the first one, or null if there
// is none. Sets `used` to the number of arguments in the name.
command* find(const command_list& commands, const std::vector<std::string>& arguments, int& used) {
  for (used = std::min<int>(2, static_cast<int>(arguments.size())); used > 0; --used) {
    std::string name = arguments[0];
    if (used == 2) {
      name += " " + arguments[1];
    }
    for (const auto& c : commands) {
      if (c->name() == name) {
        return c.get();
      }
    }
  }
  return nullptr;
}

int run_command(command& chosen, const std::vector<std::string>& arguments) {
  po::options_description visible("monsoonmux " + chosen.name() + ": " + chosen.summary());
  visible.add_options()("help", "print this text")(
      "server", po::value<std::string>()->default_value(environment("MONSOONMUX_SERVER")),
      "daemons as A.B.C.D:PORT, separated by commas; or set MONSOONMUX_SERVER")(
      "key", po::value<std::string>()->default_value(environment("MONSOONMUX_KEY"), ""),
      "API key; prefer setting MONSOONMUX_KEY")(
      "output", po::value<std::string>()->default_value("table"), "table or json");
  chosen.add_options(visible);
  po::options_description all;
  all.add(visible);
  po::positional_options_description positional_options;
  for (const std::string& word : chosen.positional_names()) {
    all.add_options()(word.c_str(), po::value<std::string>()->required());
    positional_options.add(word.c_str(), 1);
  }
  po::variables_map given;
  try {
    po::store(po::command_line_parser(arguments).options(all).positional(positional_options).run(),
              given);
    if (given.count("help") != 0) {
      std::cout << visible;
      for (const std::string& word : chosen.positional_names()) {
        std::cout << "  " << word << "\n";
      }
      return exit_done;
    }
    po::notify(given);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return exit_usage;
  }
  const std::string output = given["output"].as<std::string>();
  if (output != "table" && output != "json") {
    std::cerr << "--output: expected table or json\n";
    return exit_usage;
  }
  server_client servers(split(given["server"].as<std::string>()), given["key"].as<std::string>());
  return chosen.run({given, servers, output == "json"});
}

int run(int argc, char** argv) {
  const command_list commands = all_commands();
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "help") {
    print_usage(arguments.empty() ? std::cerr : std::cout, commands);
    return arguments.empty() ? exit_usage : exit_done;
  }
  int used = 0;
  command* chosen = find(commands, arguments, used);
  if (chosen == nullptr) {
    std::cerr << "unknown command: " << arguments[0] << "\n";
    print_usage(std::cerr, commands);
    return exit_usage;
  }
  return run_command(*chosen, {arguments.begin() + used, arguments.end()});
}

}  // namespace
}  // namespace monsoonmux

int main(int argc, char** argv) {
  return monsoonmux::run(argc, argv);
}
