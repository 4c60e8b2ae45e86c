// Stand-ins for the review's scripts: the platform's store (the project's own soak_store behind
// one listener for each daemon), runners, an operator and a client, all on loopback addresses.
// The stand-ins run on an event loop in a thread of their own; a script's steps run in the main
// thread and change the stand-ins only through cell::call().
#pragma once

#include <sys/types.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cstdio>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "async/event_log.h"
#include "base/clock.h"
#include "cell/asio_loop.h"
#include "platform/testing/soak/faulty_listener.h"
#include "platform/testing/soak/soak_store.h"

namespace review {

using nlohmann::json;

// Thrown if the case cannot run: exit status 2.
struct cannot_run : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Writes record.txt: one line for each thing that was sent, answered or run.
class recorder {
 public:
  explicit recorder(const std::string& path);
  ~recorder();
  void line(const std::string& text);
  double seconds() const;  // Since the start of the script.

 private:
  std::FILE* file;
  std::mutex lock;
  std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
};

// What one run of a task did.
struct run_seen {
  std::string task;
  int run = 0;
  std::string runner;
  double started = 0;
  double ended = -1;  // -1: runs still.
  std::string how;    // As its runner lists it; "crash": its runner crashed.
};

// A runner of the platform: leases on its own clock, fencing tokens, numbered ends. What a task
// does stands in the job's Spec: "MS:HOW" ends after so long with `how`, "LEAST-MOST:HOW" likewise
// after a time that depends on the task's index; "last" runs until it is stopped. "A|B" does A in
// run 1 and B in all later ones.
class runner {
 public:
  runner(asio::io_context& io, recorder& out, std::vector<run_seen>& seen, std::string id,
         std::string host, std::uint16_t port);
  void handle(const monsoonmux::http_request& request, const monsoonmux::http_respond& respond);
  void start();
  void crash();
  void advance();
  json entry() const;

  const std::string id;
  std::string pool = "pool-a";
  std::string zone = "z0";
  std::vector<std::string> labels{"kind-a", "rack-0"};
  std::int64_t cpu = 8'000;
  std::int64_t memory = 16'000;
  bool up = false;
  bool registers = true;         // Writes its entry into this cell's store.
  std::int64_t first_token = 0;  // Seen before; set for a runner of another system.
  // Until when a ticket is valid; null where the queues have no advice.
  std::function<std::chrono::steady_clock::time_point(const std::string&)> ticket_until;

 private:
  struct live {
    int run = 0;
    std::chrono::steady_clock::time_point ends;
    std::string how;
    bool stopping = false;
    std::size_t seen = 0;
  };
  struct waiting {
    std::chrono::steady_clock::time_point until;
    monsoonmux::http_respond respond;
  };
  std::int64_t clock_ms() const;
  monsoonmux::http_response run_start(const json& body);
  monsoonmux::http_response run_stop(const json& body);
  void hold(const json& body, const monsoonmux::http_respond& respond);
  monsoonmux::http_response report() const;
  monsoonmux::http_response conflict(const char* reason) const;
  void extend(std::int64_t until);
  void end(const std::string& task, const live& run, const std::string& how);
  void answer_polls(bool all);

  recorder& out;
  std::vector<run_seen>& seen;
  const std::string address;
  monsoonmux::soak::faulty_listener listener;
  std::chrono::steady_clock::time_point born;
  std::int64_t born_ms = 0;
  std::map<std::string, live> runs;
  std::map<std::string, int> closed;  // Highest run that ended or was stopped here.
  std::vector<json> finished;
  std::vector<waiting> polls;
  std::int64_t token = 0;
  std::int64_t until_ms = 0;
  std::int64_t next_end = 1;
  mutable std::int64_t beats = 0;
};

struct answer {
  int status = 0;  // 0: no answer.
  std::string body;
};

struct runner_plan {
  std::vector<std::string> labels{"kind-a", "rack-0"};
  std::string pool = "pool-a";
  bool registers = true;
  std::int64_t first_token = 0;
};

class cell {
 public:
  // `name`: of the case, for the recorder and the temporary folder.
  cell(const std::string& record_path, int daemons, std::vector<runner_plan> runners);
  ~cell();

  // Starts an advice service, for which all runners are good, and lets runners require its tickets.
  // To be called before start().
  void add_advice();
  // Starts the runners and the daemons, writes the configuration and waits until a daemon leads
  // and all are ready.
  void start(json config);
  void configure(json config);
  // Calls a daemon as a client does. `key`: of the tenant.
  answer request(int daemon, const std::string& method, const std::string& path,
                 const std::string& key, const std::string& body = {}, double timeout_s = 3);
  // Hands a job in as a client does: up to four repeats at other daemons, after a pause where the
  // answer is 429 or 503. Returns the last answer.
  answer submit(const std::string& path, const std::string& key, const json& job, int first = 0);
  std::string state(const std::string& path, const std::string& key, int daemon = 0);
  void crash_runner(int number);
  void restart_runner(int number);
  // From now on the runner writes its entry into this cell's store.
  void register_runner(int number);
  // The daemon that last wrote to the store under a condition with success; -1: none.
  int last_conditional_writer();
  std::vector<run_seen> runs();
  std::vector<run_seen> runs_of(const std::string& job);
  std::optional<run_seen> live_run(const std::string& task);
  void sleep(double seconds) const;
  void note(const std::string& text) { this->out.line(text); }
  double seconds() const { return this->out.seconds(); }
  bool daemon_alive(int number);
  int daemon_count() const { return static_cast<int>(this->daemons.size()); }
  std::string runner_id(int number) const { return this->runners[number]->id; }
  int runner_number(const std::string& id) const;

  template <class F>
  auto call(F action) {
    std::promise<decltype(action())> done;
    auto result = done.get_future();
    asio::post(this->io, [&] {
      if constexpr (std::is_void_v<decltype(action())>) {
        action();
        done.set_value();
      } else {
        done.set_value(action());
      }
    });
    return result.get();
  }

 private:
  struct daemon {
    std::string name;
    std::string zone;
    std::string host;
    std::string settings;
    std::string store_host;  // Where it reaches the store and the advice service.
    std::string log;
    std::unique_ptr<monsoonmux::soak::faulty_listener> store;
    pid_t pid = 0;
    int refused = 0;  // Appends, for their size.
    std::unique_ptr<monsoonmux::soak::faulty_listener> advice;
    std::chrono::steady_clock::time_point advice_free;  // One call at a time for each daemon.
  };
  void store_call(int number, const monsoonmux::http_request& request,
                  const monsoonmux::http_respond& respond);
  void advise(daemon& d, const monsoonmux::http_request& request,
              const monsoonmux::http_respond& respond);
  void spawn(daemon& d);
  void beat();
  void tick();
  void list(runner& r);
  std::string host(int number) const;

  recorder out;
  std::string folder;
  std::string net;
  asio::io_context io{1};
  monsoonmux::system_clock time;
  monsoonmux::cell::asio_loop loop{this->io};
  monsoonmux::cell::event_log events;
  monsoonmux::soak::soak_store store;
  asio::steady_timer beat_timer{this->io};
  asio::steady_timer tick_timer{this->io};
  std::vector<run_seen> seen;
  std::vector<std::unique_ptr<runner>> runners;
  std::vector<daemon> daemons;
  int writer = -1;
  json configuration;
  std::map<std::string, std::chrono::steady_clock::time_point> tickets;  // Valid until then.
  std::map<std::string, std::string> route_of_job;                       // Prefix, by job.
  std::mutex route_lock;
  asio::executor_work_guard<asio::io_context::executor_type> work{this->io.get_executor()};
  std::thread thread;
};

constexpr const char* host_name = "review.example";
// A configuration with one pool, one route "/q/" of four attempts and one tenant.
json plain_config(int version);
json step(int count, int cpu);
// A job id that no other run uses.
std::string new_id();
bool trouble();

}  // namespace review
