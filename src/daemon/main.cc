// monsoonmuxd: the daemon that runs on each entry host.

#include <glog/logging.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>

#include "daemon/http_frontend.h"
#include "daemon/json_log.h"

namespace monsoonmux {
namespace {

namespace po = boost::program_options;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

void wait_for_signal() {
  asio::io_context io;
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([](const asio::error_code&, int) {});
  io.run();
}

int serve(const settings& config) {
  try {
    node daemon(config);
    http_frontend http(daemon);
    wait_for_signal();
    const bool complete = daemon.drain([&http] { return http.open_requests(); });
    return complete ? 0 : exit_failed;
  } catch (const std::exception& error) {
    LOG(ERROR) << error.what();
    return exit_failed;
  }
}

int run(int argc, char** argv) {
  po::options_description options("monsoonmuxd, the daemon of the monsoonmux cluster scheduler");
  options.add_options()("help", "print this text and exit")("config", po::value<std::string>(),
                                                            "the settings file (YAML)")(
      "check-config", "check the settings file and exit: 0 if it is valid, 2 if not");
  po::variables_map given;
  try {
    po::store(po::parse_command_line(argc, argv, options), given);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << options;
    return exit_usage;
  }
  if (given.count("help") != 0) {
    std::cout << options;
    return 0;
  }
  if (given.count("config") == 0) {
    std::cerr << "--config is required\n" << options;
    return exit_usage;
  }
  const auto config = load_settings(given["config"].as<std::string>());
  if (config.has_error()) {
    std::cerr << config.error().detail;
    return exit_usage;
  }
  if (given.count("check-config") != 0) {
    return 0;
  }
  start_json_log(argv[0]);
  return serve(config.value());
}

}  // namespace
}  // namespace monsoonmux

int main(int argc, char** argv) {
  return monsoonmux::run(argc, argv);
}
