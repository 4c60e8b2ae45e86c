#pragma once

#include <boost/program_options.hpp>
#include <memory>
#include <string>
#include <vector>

#include "cli/server_client.h"

namespace monsoonmux {

// Exit codes of the command-line tool.
constexpr int exit_done = 0;
constexpr int exit_refused = 1;       // Refused or not run.
constexpr int exit_usage = 2;         // Invalid options or arguments.
constexpr int exit_may_have_run = 3;  // No answer; the request may have taken effect.

// The input of a command: its parsed options and a client of the daemons.
struct command_context {
  const boost::program_options::variables_map& given;
  server_client& servers;
  bool json = false;  // --output json

  std::string text(const std::string& option) const {
    return this->given.count(option) != 0 ? this->given[option].as<std::string>() : "";
  }
};

// One command of the tool, such as "job submit".
class command {
 public:
  virtual ~command() = default;
  virtual std::string name() const = 0;
  virtual std::string summary() const = 0;
  // Names of the positional arguments after the command, in order.
  virtual std::vector<std::string> positional_names() const { return {}; }
  virtual void add_options(boost::program_options::options_description&) const {}
  // Returns the exit code.
  virtual int run(const command_context& context) = 0;
};

using command_list = std::vector<std::unique_ptr<command>>;

void add_config_commands(command_list& to);
void add_key_commands(command_list& to);
void add_job_commands(command_list& to);
void add_view_commands(command_list& to);
void add_call_command(command_list& to);
void add_timeline_command(command_list& to);
void add_load_commands(command_list& to);
void add_check_command(command_list& to);

}  // namespace monsoonmux
