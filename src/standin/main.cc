// monsoonmux_standin: simulates the platform and the backend servers on loopback, for
// tests and demonstrations. Not shipped.

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "platform_http/worker_json.h"
#include "standin/standin_log.h"
#include "standin/standin_runner.h"
#include "standin/standin_worker.h"

namespace monsoonmux {
namespace {

namespace po = boost::program_options;
using json = nlohmann::json;

struct standin_options {
  int port = 7'900;
  int first_runner_port = 7'950;
  std::vector<std::string> domains;
  int workers = 3;
  int runners = 2;
  std::string pool = "main";
  resources worker_total = {{8'000}, {16'384}, {2}};
  std::size_t retention = 1'000'000;
};

class standin_platform {
 public:
  explicit standin_platform(const standin_options& settings)
      : settings(settings), recorder(this->time), log(this->faults, settings.retention) {
    int first_runner_port = settings.first_runner_port;
    for (const std::string& domain : settings.domains) {
      for (int i = 0; i < settings.workers; ++i) {
        this->add_worker(domain, i);
      }
      for (int i = 0; i < settings.runners; ++i) {
        this->add_runner(domain, i, first_runner_port++);
      }
    }
    server_options options;
    options.port = settings.port;
    options.threads = 3;
    options.max_body_bytes = 16 << 20;
    this->server = std::make_unique<http_server>(
        options, [this](const http_request& request, const http_respond& respond) {
          this->handle(request, respond);
        });
  }

  void run() {
    std::thread ticker([this] {
      while (!this->stopping) {
        for (const auto& worker : this->workers) {
          worker->tick();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    });
    asio::signal_set signals(this->timers, SIGTERM, SIGINT);
    signals.async_wait([this](const asio::error_code&, int) { this->timers.stop(); });
    const auto work = asio::make_work_guard(this->timers);
    this->timers.run();
    this->stopping = true;
    ticker.join();
  }

 private:
  void add_worker(const std::string& domain, int i) {
    worker_host host;
    host.worker = worker_id(domain + "-w" + std::to_string(i));
    host.pool = pool_id(this->settings.pool);
    host.domain = domain_id(domain);
    host.rack = rack_id(domain + "-r" + std::to_string(i / 3));
    host.total = this->settings.worker_total;
    host.address =
        "127.0.0.1:" + std::to_string(this->settings.port) + "/workers/" + host.worker.text;
    this->workers.push_back(std::make_unique<standin_worker>(host, this->time, this->recorder));
  }

  void add_runner(const std::string& domain, int i, int port) {
    runner_host host;
    host.runner = runner_id(domain + "-b" + std::to_string(i));
    host.pool = pool_id(this->settings.pool);
    host.domain = domain_id(domain);
    host.address = "127.0.0.1:" + std::to_string(port);
    this->runners.push_back(
        std::make_unique<standin_runner>(host, port, this->faults, this->recorder, this->timers));
  }

  void handle(const http_request& request, const http_respond& respond) {
    if (request.path.rfind("/log/", 0) == 0) {
      respond(this->log.handle(request));
    } else if (request.path == "/hosts") {
      respond(this->hosts_response(request));
    } else if (request.path.rfind("/workers/", 0) == 0) {
      this->handle_worker(request, respond);
    } else if (request.path.rfind("/faults/", 0) == 0) {
      respond(this->set_fault(request));
    } else if (request.path == "/history") {
      respond({200, "application/x-ndjson", {}, write_history(this->recorder.all())});
    } else if (request.path == "/stats") {
      respond({200, "application/json", {}, this->stats().dump()});
    } else {
      respond({404, "application/json", {}, "{}"});
    }
  }

  void handle_worker(const http_request& request, const http_respond& respond) {
    const std::string rest = request.path.substr(std::string("/workers/").size());
    const std::size_t slash = rest.find('/');
    standin_worker* worker = this->worker(rest.substr(0, slash));
    if (worker == nullptr || slash == std::string::npos) {
      respond({404, "application/json", {}, "{}"});
    } else if (!worker->is_unresponsive()) {
      respond(worker->handle(rest.substr(slash + 1), request));
    }
  }

  standin_worker* worker(const std::string& name) {
    for (const auto& w : this->workers) {
      if (w->description().worker.text == name) {
        return w.get();
      }
    }
    return nullptr;
  }

  standin_runner* runner(const std::string& name) {
    for (const auto& r : this->runners) {
      if (r->description().runner.text == name) {
        return r.get();
      }
    }
    return nullptr;
  }

  // Handles POST /faults/NAME?value=N and POST /faults/NAME?host=H&value=N.
  http_response set_fault(const http_request& request) {
    const std::string name = request.path.substr(std::string("/faults/").size());
    const std::string text = request.parameter("value");
    const std::int64_t value = text.empty() ? 1 : std::stoll(text);
    standin_worker* w = this->worker(request.parameter("host"));
    standin_runner* r = this->runner(request.parameter("host"));
    if (name == "log_down") {
      this->faults.log_down = value;
    } else if (name == "log_slow_ms") {
      this->faults.log_slow_ms = value;
    } else if (name == "log_lose_answers") {
      this->faults.log_lose_answers = value;
    } else if (name == "list_lag_ms") {
      this->faults.list_lag_ms = value;
    } else if (name == "runner_slow_ms") {
      this->faults.runner_slow_ms = value;
    } else if (name == "worker_restart" && w != nullptr) {
      w->restart();
    } else if (name == "worker_silent" && w != nullptr) {
      w->set_unresponsive(value != 0);
    } else if (name == "worker_fails_all" && w != nullptr) {
      w->set_fails_all(value != 0);
    } else if (name == "runner_silent" && r != nullptr) {
      r->unresponsive = value != 0;
    } else if (name == "runner_leaving" && r != nullptr) {
      this->set_leaving(*r, value != 0);
    } else {
      return {404, "application/json", {}, "{\"error\":\"no such fault or host\"}"};
    }
    return {200, "application/json", {}, "{}"};
  }

  void set_leaving(standin_runner& r, bool value) {
    if (value && !r.leaving) {
      history_event e;
      e.kind = history_kind::runner_left;
      e.subject = r.description().runner.text;
      this->recorder.add(e);
    }
    r.leaving = value;
  }

  http_response hosts_response(const http_request& request) {
    const std::string body = this->hosts().dump();
    const std::string etag = std::to_string(std::hash<std::string>{}(body));
    if (request.header("If-None-Match") == etag) {
      return {304, "application/json", {{"ETag", etag}}, ""};
    }
    return {200, "application/json", {{"ETag", etag}}, body};
  }

  json hosts() {
    const std::lock_guard guard(this->cache_lock);
    const instant now = this->time.now();
    if (!this->cached_hosts.is_null() && now - this->cached_at < millis{this->faults.list_lag_ms}) {
      return this->cached_hosts;
    }
    json out = {{"workers", json::array()}, {"runners", json::array()}};
    for (const auto& w : this->workers) {
      const worker_host& h = w->description();
      json item = to_json(h.total);
      item["worker"] = h.worker.text;
      item["pool"] = h.pool.text;
      item["domain"] = h.domain.text;
      item["rack"] = h.rack.text;
      item["address"] = h.address;
      out["workers"].push_back(item);
    }
    for (const auto& r : this->runners) {
      const runner_host& h = r->description();
      out["runners"].push_back({{"runner", h.runner.text},
                                {"pool", h.pool.text},
                                {"domain", h.domain.text},
                                {"address", h.address},
                                {"slots", h.slots},
                                {"connections", h.connections},
                                {"leaving", r->leaving.load()}});
    }
    this->cached_hosts = out;
    this->cached_at = now;
    return out;
  }

  json stats() const {
    json out = {{"appends", this->log.appends()}, {"runners", json::array()}};
    for (const auto& r : this->runners) {
      out["runners"].push_back({{"runner", r->description().runner.text},
                                {"slots", r->description().slots},
                                {"most_at_once", r->max_concurrent_calls()},
                                {"calls", r->calls()}});
    }
    return out;
  }

  const standin_options settings;
  system_clock time;
  standin_faults faults;
  history_recorder recorder;
  standin_log log;
  asio::io_context timers;
  std::vector<std::unique_ptr<standin_worker>> workers;
  std::vector<std::unique_ptr<standin_runner>> runners;
  std::mutex cache_lock;
  json cached_hosts;
  instant cached_at;
  std::atomic<bool> stopping{false};
  std::unique_ptr<http_server> server;
};

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> out;
  std::size_t at = 0;
  while (at <= text.size()) {
    const std::size_t end = std::min(text.find(',', at), text.size());
    out.push_back(text.substr(at, end - at));
    at = end + 1;
  }
  return out;
}

int run(int argc, char** argv) {
  standin_options settings;
  std::string domains = "north,south,west";
  po::options_description options("monsoonmux_standin: simulates the platform on loopback");
  options.add_options()("help", "print this text")(
      "port", po::value(&settings.port), "port of the log, the machine list and the workers")(
      "runner-port", po::value(&settings.first_runner_port), "first port of the runners")(
      "domains", po::value(&domains), "failure domains, separated by commas")(
      "workers", po::value(&settings.workers), "workers per domain")(
      "runners", po::value(&settings.runners), "runners per domain")(
      "pool", po::value(&settings.pool), "pool of all hosts")(
      "cpu", po::value(&settings.worker_total.cpu.value), "millicores per worker")(
      "memory", po::value(&settings.worker_total.memory.value), "MiB per worker")(
      "accelerators", po::value(&settings.worker_total.accelerators.value),
      "accelerator devices per worker")("retention", po::value(&settings.retention),
                                        "log entries retained");
  po::variables_map parsed;
  try {
    po::store(po::parse_command_line(argc, argv, options), parsed);
    po::notify(parsed);
    if (parsed.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    settings.domains = split(domains);
    standin_platform(settings).run();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}

}  // namespace
}  // namespace monsoonmux

int main(int argc, char** argv) {
  return monsoonmux::run(argc, argv);
}
