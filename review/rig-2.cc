#include "rig-2.h"

#include <fcntl.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "platform/testing/soak/daemon_process.h"

namespace monsoonmux::review {
namespace {

constexpr std::uint16_t store_port = 7'000;
constexpr std::uint16_t callers_port = 7'001;
constexpr std::uint16_t readiness_port = 7'002;
constexpr std::uint16_t advice_port = 7'003;
constexpr std::uint16_t peer_port = 7'010;
constexpr std::uint16_t runner_port = 7'100;
constexpr int first_daemon_host = 10;
constexpr int first_store_host = 100;
constexpr int runner_host = 200;
constexpr std::int64_t hold_max_ms = 10'000;
constexpr millis heartbeat{1'500};
constexpr millis stop_time{300};  // At most StopGraceMs.
constexpr std::size_t ends_per_answer = 500;
constexpr const char* work_host = "work.example";

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    throw std::runtime_error("cannot read " + path);
  }
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

http_response answer(int status, const json& body) {
  return {.status = status, .headers = {}, .body = body.dump()};
}

bool is_free(const std::string& host, std::uint16_t port) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io);
  asio::error_code error;
  acceptor.open(asio::ip::tcp::v4(), error);
  acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  acceptor.bind({asio::ip::make_address(host), port}, error);
  return !error;
}

// A loopback network in which the ports of the first daemon, store and runner are free.
std::string free_network() {
  constexpr int parts = 200;
  int id = static_cast<int>(getpid());
  for (int tries = 0; tries < parts; ++tries, id += 7) {
    const std::string net = "127." + std::to_string(1 + id / parts % parts) + "." +
                            std::to_string(1 + id % parts) + ".";
    if (is_free(net + std::to_string(first_daemon_host), callers_port) &&
        is_free(net + std::to_string(first_store_host), store_port) &&
        is_free(net + std::to_string(runner_host), runner_port)) {
      return net;
    }
  }
  throw std::runtime_error("no free loopback addresses");
}

std::string at(const std::string& host, int port) {
  return host + ":" + std::to_string(port);
}

std::string job_of(const std::string& task) {
  return task.substr(0, task.find('.'));
}

std::string step_of(const std::string& task) {  // ID.K.STEP
  return task.substr(0, task.rfind('.'));
}

}  // namespace

small_runner::small_runner(rig& owner, int index)
    : id("i-5c0e7a21d" + std::to_string(index)), in(owner), number(index) {
  this->started = this->in.time.now();
  this->born = this->in.time.wall_ms();
  this->listener = std::make_unique<soak::faulty_listener>(
      this->in.io, this->in.net + std::to_string(runner_host),
      static_cast<std::uint16_t>(runner_port + index),
      [this](const http_request& request, const http_respond& respond) {
        this->handle(request, respond);
      });
  this->listener->open();
}

std::int64_t small_runner::clock_ms() const {
  return (this->in.time.now() - this->started).value;
}

json small_runner::listing() const {
  const int rack = this->number % this->in.options.racks;
  return {{"Service", "s0"},
          {"Address", at(this->in.net + std::to_string(runner_host), runner_port + this->number)},
          {"Zone", "z" + std::to_string(rack % 3)},
          {"Version", "1"},
          {"Slots", 8},
          {"State", "ready"},
          {"ColdLeftMs", 0},
          {"Sequence", ++this->beats},
          {"born", this->born},
          {"Capacity",
           {{"Cpu", this->in.options.runner_cpu}, {"MemMb", this->in.options.runner_memory}}},
          {"Labels", {"kind-a", "r" + std::to_string(rack)}}};
}

void small_runner::handle(const http_request& request, const http_respond& respond) {
  if (!this->is_up) {
    return;
  }
  if (request.header("Target-Instance") != this->id) {
    respond(answer(421, json::object()));
    return;
  }
  ++this->in.orders;
  if (!this->intercept || !this->intercept(request, respond)) {
    this->execute(request, respond);
  }
}

void small_runner::execute(const http_request& request, const http_respond& respond) {
  this->advance();
  const json body = json::parse(request.body, nullptr, false);
  if (!this->is_up || !body.is_object()) {
    respond(answer(400, json::object()));
    return;
  }
  const std::int64_t given = body.value("FencingToken", std::int64_t{0});
  if (given < this->token) {
    respond(this->conflict("fence"));
    return;
  }
  this->token = given;
  if (request.path == "/v1/run-start") {
    respond(this->start(body));
  } else if (request.path == "/v1/run-stop") {
    respond(this->stop(body));
  } else if (request.path == "/v1/hold") {
    this->hold(body, respond);
  } else if (request.path == "/v1/pace") {
    respond(answer(200, {{"ClockMs", this->clock_ms()}}));
  } else {
    respond(answer(404, json::object()));
  }
}

http_response small_runner::conflict(const char* reason) const {
  return answer(409, {{"ClockMs", this->clock_ms()}, {"Reason", reason}});
}

void small_runner::extend(std::int64_t until_ms) {
  this->lease_until =
      std::max(this->lease_until, std::min(until_ms, this->clock_ms() + hold_max_ms));
}

http_response small_runner::start(const json& body) {
  const auto task = body.at("Task").get<std::string>();
  const int run = body.at("RunId").get<int>();
  const auto until_ms = body.at("UntilMs").get<std::int64_t>();
  if (until_ms <= this->clock_ms()) {
    return this->conflict("late");
  }
  this->extend(until_ms);
  const auto running = this->runs.find(task);
  if (running != this->runs.end() && running->second.run == run) {
    return answer(200, {{"ClockMs", this->clock_ms()}});
  }
  const auto over = this->closed.find(task);
  if (running != this->runs.end() || (over != this->closed.end() && run <= over->second)) {
    return this->conflict("old");
  }
  if (this->in.ticketed_jobs.count(job_of(task)) != 0 &&
      body.value("Ticket", std::string()) != this->in.ticket(step_of(task), this->id)) {
    constexpr int recorded = 200;
    if (++this->in.refused_starts <= recorded) {
      this->in.note("start_refused",
                    {{"runner", this->id}, {"task", task}, {"run", run}, {"reason", "ticket"}});
    }
    return this->conflict("ticket");
  }
  active next;
  next.run = run;
  const std::string step = task.substr(0, task.rfind('.')).substr(step_of(task).rfind('.') + 1);
  std::istringstream words(body.at("Spec").get<std::string>());
  for (std::string word; words >> word;) {
    const std::size_t colon = word.find(':');
    if (colon != std::string::npos && word.substr(0, colon) == step) {
      const std::int64_t work = std::stoll(word.substr(colon + 1));
      if (work > 0) {
        next.ends = this->in.time.now() + millis{work};
      }
    }
  }
  next.note = this->in.notes.size();
  this->in.notes.push_back({task, run, this->id, this->in.time.now(), std::nullopt, ""});
  this->in.note("run", {{"runner", this->id}, {"task", task}, {"run", run}});
  this->runs[task] = next;
  return answer(200, {{"ClockMs", this->clock_ms()}});
}

http_response small_runner::stop(const json& body) {
  const auto task = body.at("Task").get<std::string>();
  const int run = body.at("RunId").get<int>();
  int& highest = this->closed[task];
  highest = std::max(highest, run);
  const auto it = this->runs.find(task);
  if (it != this->runs.end() && it->second.run <= run && it->second.how != "stopped") {
    it->second.ends = this->in.time.now() + stop_time;
    it->second.how = "stopped";
  }
  return answer(200, {{"ClockMs", this->clock_ms()}});
}

void small_runner::hold(const json& body, const http_respond& respond) {
  if (body.contains("UntilMs")) {
    this->extend(body["UntilMs"].get<std::int64_t>());
  }
  const auto seen = body.value("LastSeen", std::int64_t{0});
  std::erase_if(this->ends, [seen](const finished& f) { return f.number <= seen; });
  const millis wait{body.value("WaitMs", std::int64_t{0})};
  if (wait.value == 0 || !this->ends.empty()) {
    respond(this->report());
    return;
  }
  this->polls.push_back({this->in.time.now() + wait, respond});
}

http_response small_runner::report() const {
  json out = {{"ClockMs", this->clock_ms()},
              {"born", this->born},
              {"RunningCount", json::array()},
              {"Finished", json::array()}};
  for (const auto& [task, run] : this->runs) {
    out["RunningCount"].push_back({task, run.run, "00000bb87a21d94b", 100, 0});
  }
  for (const finished& f : this->ends) {
    if (out["Finished"].size() < ends_per_answer) {
      out["Finished"].push_back({f.number, f.task, f.run, f.how, ""});
    }
  }
  return answer(200, out);
}

void small_runner::end(const std::string& task, const std::string& how) {
  const active run = this->runs.at(task);
  this->runs.erase(task);
  int& highest = this->closed[task];
  highest = std::max(highest, run.run);
  this->ends.push_back({this->next_end++, task, run.run, how});
  this->in.notes[run.note].ended = this->in.time.now();
  this->in.notes[run.note].how = how;
  this->in.note("end", {{"runner", this->id}, {"task", task}, {"run", run.run}, {"how", how}});
}

void small_runner::advance() {
  if (!this->is_up) {
    return;
  }
  const bool lapsed = this->clock_ms() >= this->lease_until;
  std::vector<std::string> over;
  for (const auto& [task, run] : this->runs) {
    if (lapsed || (run.ends && *run.ends <= this->in.time.now())) {
      over.push_back(task);
    }
  }
  for (const std::string& task : over) {
    const active& run = this->runs.at(task);
    const bool in_time = run.ends && *run.ends <= this->in.time.now();
    this->end(task, in_time ? run.how : "lapsed");
  }
  std::vector<poll> due;
  std::erase_if(this->polls, [&](poll& p) {
    if (this->ends.empty() && p.until > this->in.time.now()) {
      return false;
    }
    due.push_back(std::move(p));
    return true;
  });
  for (const poll& p : due) {
    p.respond(this->report());
  }
}

void small_runner::crash() {
  this->advance();
  this->in.note("runner_crashes", {{"runner", this->id}});
  this->is_up = false;
  this->listener->close();
  for (auto& [task, run] : this->runs) {
    this->in.notes[run.note].ended = this->in.time.now();
    this->in.notes[run.note].how = "crashed";
  }
  this->runs.clear();
  this->closed.clear();
  this->ends.clear();
  this->polls.clear();
}

void small_runner::cut_off(bool cut) {
  this->in.note(cut ? "runner_cut_off" : "runner_reached_again", {{"runner", this->id}});
  if (cut) {
    this->listener->cut(soak::cut_direction::both);
  } else {
    this->listener->heal(soak::cut_direction::both);
  }
}

void small_runner::restart() {
  this->is_up = true;
  this->started = this->in.time.now();
  this->born = this->in.time.wall_ms();
  this->token = 0;
  this->lease_until = 0;
  this->next_end = 1;
  this->beats = 0;
  this->listener->open();
  this->in.note("runner_starts_again", {{"runner", this->id}, {"born", this->born}});
  this->in.list(*this);
}

rig::rig(const rig_options& given) : options(given), net(free_network()) {
  std::string name = std::filesystem::temp_directory_path().string() + "/review-2-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  this->directory = name;
  const int file =
      ::open(given.record.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode_t{0644});
  if (file < 0) {
    throw std::runtime_error("cannot write " + given.record);
  }
  this->events = std::make_unique<cell::event_log>(
      file, this->time, "script", cell::event_log_options{.buffer_bytes = 64 * 1'024 * 1'024});
  this->store =
      std::make_unique<soak::soak_store>(this->loop, this->time, *this->events, given.daemons, 1);
  this->transport = std::make_unique<cell::http_transport>(
      this->io, this->metrics,
      cell::transport_options{.name = "client", .connections_per_peer = 8});
  for (int i = 0; i < given.runners; ++i) {
    this->runners.push_back(std::make_unique<small_runner>(*this, i));
  }
  const std::string text = read_file(given.template_path);
  for (int i = 0; i < given.daemons; ++i) {
    platform::boot_settings s;
    s.daemon = "d" + std::to_string(i);
    s.domain = "z" + std::to_string(i % 3);
    s.address = this->net + std::to_string(first_daemon_host + i);
    s.peer_port = peer_port;
    s.callers = at(s.address, callers_port);
    s.readiness = at(s.address, readiness_port);
    s.store = at(this->net + std::to_string(first_store_host + i), store_port);
    s.lease = millis{hold_max_ms};
    s.heartbeat = heartbeat;
    s.host.cores = 0.25;
    std::string rendered = soak::render_settings(text, s);
    const std::string none = "advice: \"\"";
    const std::size_t found = rendered.find(none);
    if (given.advice && found != std::string::npos) {
      rendered.replace(
          found, none.size(),
          "advice: \"" + at(this->net + std::to_string(runner_host), advice_port) + "\"");
    }
    const std::string path = this->directory + "/" + s.daemon + ".yaml";
    std::ofstream(path) << rendered;
    this->settings.push_back(path);
    this->pids.push_back(0);
    this->stores.push_back(std::make_unique<soak::faulty_listener>(
        this->io, this->net + std::to_string(first_store_host + i), store_port,
        [this, i](const http_request& request, const http_respond& respond) {
          this->store->handle(i, "", request, respond);
        }));
    this->stores.back()->open();
  }
  if (given.advice) {
    this->advisor = std::make_unique<soak::faulty_listener>(
        this->io, this->net + std::to_string(runner_host), advice_port,
        [this](const http_request& request, const http_respond& respond) {
          this->advise(request, respond);
        });
    this->advisor->open();
  }
}

rig::~rig() {
  for (const pid_t pid : this->pids) {
    if (pid > 0) {
      kill(pid, SIGKILL);
      int status = 0;
      waitpid(pid, &status, 0);
    }
  }
  this->events->flush();
  if (getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
  } else {
    std::cerr << "logs of the daemons: " << this->directory << "\n";
  }
}

std::string rig::ticket(const std::string& step, const std::string& runner) const {
  return "t-" + step + "-" + runner;
}

// Every runner may run every step; DecideMs 20 and EachMs 0.3, as in the configuration.
void rig::advise(const http_request& request, const http_respond& respond) {
  const json body = json::parse(request.body, nullptr, false);
  if (request.path != "/v1/advise" || !body.is_object()) {
    respond(answer(400, json::object()));
    return;
  }
  json good = json::array();
  const auto step = body.at("Step").get<std::string>();
  for (const json& worker : body.at("Workers")) {
    good.push_back({worker, this->ticket(step, worker.get<std::string>())});
  }
  this->note("advice", {{"step", step}, {"workers", body.at("Workers").size()}});
  const millis taken{20 + static_cast<std::int64_t>(good.size()) * 3 / 10};
  this->loop.after(taken, [respond, good] { respond(answer(200, {{"Good", good}})); });
}

void rig::note(const std::string& event, const json& fields) {
  nlohmann::ordered_json out;
  for (const auto& [name, value] : fields.items()) {
    out[name] = value;
  }
  this->events->write(event, out);
}

void rig::fail(const std::string& rule, const std::string& what) {
  this->broken.push_back(rule + ": " + what);
  this->note("broken", {{"rule", rule}, {"what", what}});
}

void rig::write_config() {
  json config = {{"Version", this->version},
                 {"Routes", this->routes},
                 {"Services", {{{"Name", "s0"}}}},
                 {"Tenants", json::array()},
                 {"Limits", json::object()}};
  this->store->put("keyed.op", "config", config.dump());
  json names = json::array();
  for (const json& route : this->routes) {
    names.push_back(route.at("PathPrefix"));
  }
  this->note("configuration", {{"version", this->version}, {"routes", names}});
}

void rig::list(small_runner& runner) {
  this->store->put("keyed.servers", runner.id, runner.listing().dump());
  runner.listed_at = this->time.now();
}

// An entry goes after three heartbeat intervals of silence.
void rig::drop_silent() {
  for (const auto& runner : this->runners) {
    if (runner->listed_at > instant{0} && this->time.now() - runner->listed_at > heartbeat * 3) {
      runner->listed_at = instant{0};
      this->store->put("keyed.servers", runner->id, "");
      this->note("entry_removed", {{"runner", runner->id}});
    }
  }
}

void rig::list_all() {
  for (const auto& runner : this->runners) {
    if (runner->is_up) {
      this->list(*runner);
    }
  }
  this->loop.after(heartbeat, [this] { this->list_all(); });
}

void rig::tick() {
  constexpr millis interval{5};
  for (const auto& runner : this->runners) {
    runner->advance();
  }
  this->drop_silent();
  this->store->advance();
  this->reap();
  this->events->flush();
  this->loop.after(interval, [this] { this->tick(); });
}

void rig::reap() {
  for (std::size_t i = 0; i < this->pids.size(); ++i) {
    int status = 0;
    if (this->pids[i] > 0 && waitpid(this->pids[i], &status, WNOHANG) == this->pids[i]) {
      this->pids[i] = 0;
      const std::string how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                                  : "exit " + std::to_string(WEXITSTATUS(status));
      this->note("daemon_ends", {{"daemon", i}, {"how", how}});
      if (this->expected_ends.erase(static_cast<int>(i)) == 0) {
        ++this->daemon_ends;
      }
    }
  }
}

void rig::start_daemon(int daemon) {
  const auto index = static_cast<std::size_t>(daemon);
  const std::string log = this->directory + "/d" + std::to_string(daemon) + ".log";
  const std::string boot = "MONSOONMUX_BOOT=" + this->settings[index];
  const char* const path = getenv("PATH");
  const std::string search = std::string("PATH=") + (path != nullptr ? path : "/usr/bin:/bin");
  const pid_t own = getpid();
  const pid_t pid = fork();
  if (pid < 0) {
    throw std::runtime_error("cannot fork");
  }
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != own) {
      _exit(127);
    }
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode_t{0644});
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    std::string program = this->options.program;
    char* arguments[] = {program.data(), nullptr};
    char* environment[] = {const_cast<char*>(boot.c_str()), const_cast<char*>(search.c_str()),
                           nullptr};
    execve(program.c_str(), arguments, environment);
    _exit(127);
  }
  this->pids[index] = pid;
  this->note("daemon_starts", {{"daemon", daemon}});
}

void rig::signal_daemon(int daemon, int number) {
  const pid_t pid = this->pids[static_cast<std::size_t>(daemon)];
  if (pid > 0) {
    this->note("signal", {{"daemon", daemon}, {"number", number}});
    kill(pid, number);
  }
}

std::string rig::caller_address(int daemon) const {
  return at(this->net + std::to_string(first_daemon_host + daemon), callers_port);
}

bool rig::boot() {
  this->write_config();
  this->list_all();
  this->tick();
  for (int i = 0; i < this->options.daemons; ++i) {
    this->start_daemon(i);
  }
  constexpr millis start_of_traffic{10'000};
  this->pump(start_of_traffic);
  for (int i = 0; i < this->options.daemons; ++i) {
    bool ready = false;
    client_request probe;
    probe.url = "http://" + at(this->net + std::to_string(first_daemon_host + i), readiness_port) +
                "/v1/readiness";
    this->transport->send(probe, [&ready](const result<client_answer>& a) {
      ready = a.has_value() && a.value().status == 200;
    });
    if (!this->pump_until([&ready] { return ready; }, millis{6'000})) {
      this->note("not_ready", {{"daemon", i}});
      return false;
    }
  }
  return true;
}

void rig::pump(millis span) {
  this->pump_until([] { return false; }, span);
}

bool rig::pump_until(const std::function<bool()>& what, millis most) {
  const instant until = this->time.now() + most;
  while (!what()) {
    if (this->time.now() >= until) {
      return false;
    }
    this->io.run_one_for(std::chrono::milliseconds(5));
  }
  return true;
}

int rig::call(const std::string& method, int daemon, const std::string& path,
              const std::string& body, millis deadline) {
  client_request out;
  out.method = method;
  out.url = "http://" + this->caller_address(daemon) + path;
  out.headers = {{"Host", work_host}, {"Deadline-Ms", std::to_string(deadline.value)}};
  out.timeout = deadline;
  if (method == "POST") {
    out.headers.push_back({"Content-Type", "application/json"});
    out.body = body;
  }
  struct outcome {
    bool over = false;
    int status = 0;
    std::string body;
  };
  const auto got = std::make_shared<outcome>();
  const instant since = this->time.now();
  this->transport->send(out, [got](const result<client_answer>& a) {
    got->over = true;
    got->status = a.has_value() ? a.value().status : 0;
    got->body = a.has_value() ? a.value().body : "";
  });
  this->pump_until([&got] { return got->over; }, deadline + millis{500});
  this->answer_body = json::parse(got->body, nullptr, false);
  this->note("call", {{"method", method},
                      {"daemon", daemon},
                      {"path", path},
                      {"status", got->status},
                      {"answer", got->body.substr(0, 200)},
                      {"took_ms", (this->time.now() - since).value}});
  return got->status;
}

int rig::submit(int daemon, const std::string& prefix, const std::string& id, const json& job) {
  return this->call("POST", daemon, prefix + id, job.dump());
}

std::string rig::state(int daemon, const std::string& prefix, const std::string& id) {
  const int status = this->call("GET", daemon, prefix + id, "");
  if (status == 200 && this->answer_body.is_object()) {
    return this->answer_body.value("State", std::string("?"));
  }
  return status == 0 ? "no answer" : std::to_string(status);
}

std::string rig::any_state(const std::string& prefix, const std::string& id) {
  std::string last;
  for (int i = 0; i < this->options.daemons; ++i) {
    last = this->state(i, prefix, id);
    if (last != "no answer" && last != "503" && last != "504") {
      return last;
    }
  }
  return last;
}

int rig::count_runs(const std::string& job, const std::string& how) const {
  return static_cast<int>(std::count_if(
      this->notes.begin(), this->notes.end(),
      [&](const run_note& n) { return job_of(n.task) == job && (how.empty() || n.how == how); }));
}

}  // namespace monsoonmux::review
