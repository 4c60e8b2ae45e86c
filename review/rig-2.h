#pragma once

// What the scripts of the second review share: daemons as separate processes on loopback addresses,
// the project's stand-in of the platform's store, runners that follow the protocol's page, and a
// client. Everything runs on one thread; a scenario calls pump() to let time pass.

#include <sys/types.h>

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "async/event_log.h"
#include "async/http_transport.h"
#include "async/metric_registry.h"
#include "base/clock.h"
#include "cell/asio_loop.h"
#include "platform/testing/soak/faulty_listener.h"
#include "platform/testing/soak/soak_store.h"

namespace monsoonmux::review {

using nlohmann::json;

struct rig_options {
  std::string program = "target/platform/monsoonmuxd";
  std::string template_path = "deploy/monsoonmuxd.yaml.tmpl";
  std::string record = "record.txt";
  int daemons = 3;
  int runners = 8;
  std::int64_t runner_cpu = 32'000;  // Thousandths of a core.
  std::int64_t runner_memory = 64'000;
  int racks = 4;
  bool advice = false;  // Daemons know an advice service.
};

struct run_note {
  std::string task;
  int run = 0;
  std::string runner;
  instant began;
  std::optional<instant> ended;
  std::string how;  // Of a run that has ended; `crashed`: with its runner.
};

class rig;

// A runner as the protocol's page describes it. A task's time is read from the job's Spec: words
// of the form STEP:MS, 0 for a task that lasts.
class small_runner {
 public:
  small_runner(rig& in, int number);
  void handle(const http_request& request, const http_respond& respond);
  void advance();
  void crash();            // Silent at once; connections are reset.
  void cut_off(bool cut);  // From all daemons; the platform still hears of it.
  void restart();          // Under its id, knowing nothing of before.
  bool runs_something() const { return !this->runs.empty(); }
  bool runs_task(const std::string& task) const { return this->runs.count(task) != 0; }
  json listing() const;

  const std::string id;
  bool is_up = true;
  instant listed_at{0};  // When the platform last heard of it; 0: its entry is gone.
  // Called before a call is executed; true: it takes the call over.
  std::function<bool(const http_request&, const http_respond&)> intercept;
  void execute(const http_request& request, const http_respond& respond);
  std::int64_t clock_ms() const;

 private:
  struct active {
    int run = 0;
    std::optional<instant> ends;
    std::string how = "done";
    std::size_t note = 0;
  };
  struct finished {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };
  struct poll {
    instant until;
    http_respond respond;
  };
  http_response start(const json& body);
  http_response stop(const json& body);
  void hold(const json& body, const http_respond& respond);
  http_response report() const;
  http_response conflict(const char* reason) const;
  void extend(std::int64_t until_ms);
  void end(const std::string& task, const std::string& how);

  rig& in;
  const int number;
  std::unique_ptr<soak::faulty_listener> listener;
  std::map<std::string, active> runs;
  std::map<std::string, int> closed;
  std::vector<finished> ends;
  std::vector<poll> polls;
  instant started;
  std::int64_t born = 0;
  std::int64_t token = 0;
  std::int64_t lease_until = 0;
  std::int64_t next_end = 1;
  mutable std::int64_t beats = 0;
};

class rig {
 public:
  explicit rig(const rig_options& given);
  ~rig();
  rig(const rig&) = delete;
  rig& operator=(const rig&) = delete;

  // Writes the first configuration, starts everything and waits until the daemons are ready.
  // False if they are not in time.
  bool boot();
  void pump(millis time);
  bool pump_until(const std::function<bool()>& what, millis most);
  // The status, or 0 if there is no answer; the body in `answer_body`.
  int call(const std::string& method, int daemon, const std::string& path, const std::string& body,
           millis deadline = millis{3'000});
  json answer_body;
  int submit(int daemon, const std::string& prefix, const std::string& id, const json& job);
  std::string state(int daemon, const std::string& prefix, const std::string& id);
  // The first state that a daemon gives; asks each.
  std::string any_state(const std::string& prefix, const std::string& id);
  void write_config();
  void list(small_runner& runner);
  // Starts that were executed, and their ends.
  std::vector<run_note> notes;
  int count_runs(const std::string& job, const std::string& how) const;
  void note(const std::string& event, const json& fields);
  void fail(const std::string& rule, const std::string& what);
  // A ticket of the advice service.
  std::string ticket(const std::string& step, const std::string& runner) const;

  const rig_options options;
  system_clock time;
  asio::io_context io{1};
  cell::asio_loop loop{io};
  std::unique_ptr<cell::event_log> events;
  std::unique_ptr<soak::soak_store> store;
  std::vector<std::unique_ptr<small_runner>> runners;
  std::vector<json> routes;
  std::int64_t version = 1;
  std::string net;
  std::set<std::string> ticketed_jobs;  // Their starts need a ticket.
  std::vector<std::string> broken;
  std::string directory;
  int orders = 0;          // Calls to runners.
  int refused_starts = 0;  // Without their ticket.
  int daemon_ends = 0;     // Processes that ended by themselves.
  bool dead(int daemon) const { return this->pids[static_cast<std::size_t>(daemon)] <= 0; }
  void start_daemon(int daemon);
  void signal_daemon(int daemon, int number);
  std::set<int> expected_ends;

 private:
  std::string caller_address(int daemon) const;
  void list_all();
  void drop_silent();
  void tick();
  void reap();
  void advise(const http_request& request, const http_respond& respond);

  std::vector<pid_t> pids;
  std::vector<std::string> settings;
  std::vector<std::unique_ptr<soak::faulty_listener>> stores;
  std::unique_ptr<soak::faulty_listener> advisor;
  cell::metric_registry metrics;
  std::unique_ptr<cell::http_transport> transport;
};

}  // namespace monsoonmux::review
