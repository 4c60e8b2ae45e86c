#include "review/rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

#include "platform/boot_settings.h"
#include "platform/testing/soak/daemon_process.h"

extern char** environ;

namespace review {
namespace {

using monsoonmux::http_request;
using monsoonmux::http_respond;
using monsoonmux::http_response;
using monsoonmux::millis;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// As in the example of the settings file.
constexpr std::int64_t record_bytes = 262'144;
constexpr std::int64_t call_bytes = 2'097'152;
constexpr std::int64_t hold_max_ms = 10'000;
constexpr int stop_grace_ms = 900;
constexpr int heartbeat_ms = 1'500;
constexpr std::uint16_t store_port = 7'000;
constexpr std::uint16_t callers_port = 7'001;
constexpr std::uint16_t readiness_port = 7'002;
constexpr std::uint16_t advice_port = 7'003;
constexpr std::uint16_t peer_port = 7'010;
constexpr std::uint16_t runner_port = 7'100;
constexpr auto far_away = std::chrono::hours(24);
constexpr unsigned longest_s = 115;  // A script may take 120 s.
constexpr int most_daemons = 8;

// Of the daemons that run, for the signal handler.
std::atomic<pid_t> started[most_daemons];

// Ends the daemons when the script is stopped, takes too long or meets an exception that nobody
// handles.
void give_up(int) {
  for (const auto& pid : started) {
    if (pid > 0) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
    }
  }
  _exit(2);
}

http_response reply(int status, const json& body) {
  return {.status = status, .headers = {}, .body = body.dump()};
}

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

std::int64_t wall_ms() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The largest record of an append; -1 if a record ends behind the body.
std::int64_t largest_record(const std::string& body) {
  std::int64_t largest = 0;
  for (std::size_t at = 0; at < body.size();) {
    if (body.size() - at < 4) {
      return -1;
    }
    std::int64_t length = 0;
    for (int i = 0; i < 4; ++i) {
      length = length * 256 + static_cast<unsigned char>(body[at++]);
    }
    if (static_cast<std::int64_t>(body.size() - at) < length) {
      return -1;
    }
    largest = std::max(largest, length);
    at += static_cast<std::size_t>(length);
  }
  return largest;
}

// What the Spec says of this run; -1 ms: the run lasts.
std::pair<int, std::string> work_of(const std::string& spec, const std::string& task, int run) {
  std::vector<std::string> parts;
  std::stringstream in(spec);
  for (std::string part; std::getline(in, part, '|');) {
    parts.push_back(part);
  }
  const std::string& own =
      parts.at(std::min(parts.size(), static_cast<std::size_t>(std::max(run, 1))) - 1);
  const std::size_t colon = own.find(':');
  if (colon == std::string::npos) {
    return {-1, ""};
  }
  const std::string time = own.substr(0, colon);
  const std::size_t dash = time.find('-');
  int ms = std::stoi(time);
  if (dash != std::string::npos) {
    constexpr int classes = 16;
    const int most = std::stoi(time.substr(dash + 1));
    const int index = std::stoi(task.substr(task.rfind('.') + 1));
    ms += (most - ms) * (index * 7 % classes) / (classes - 1);
  }
  return {ms, own.substr(colon + 1)};
}

std::string make_folder() {
  const char* const base = std::getenv("TMPDIR");
  std::string path = std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
  if (mkdtemp(path.data()) == nullptr) {
    throw cannot_run("no temporary folder");
  }
  return path;
}

std::string random_net() {
  std::random_device source;
  return "127." + std::to_string(20 + source() % 200) + "." + std::to_string(1 + source() % 250) +
         ".";
}

}  // namespace

recorder::recorder(const std::string& path) : file(std::fopen(path.c_str(), "w")) {
  if (this->file == nullptr) {
    throw cannot_run("cannot write " + path);
  }
}

recorder::~recorder() {
  std::fclose(this->file);
}

double recorder::seconds() const {
  return std::chrono::duration<double>(steady_clock::now() - this->start).count();
}

void recorder::line(const std::string& text) {
  const std::lock_guard guard(this->lock);
  std::fprintf(this->file, "%9.3f %s\n", this->seconds(), text.c_str());
  std::fflush(this->file);
}

runner::runner(asio::io_context& io, recorder& to, std::vector<run_seen>& all, std::string name,
               std::string host, std::uint16_t port)
    : id(std::move(name)),
      out(to),
      seen(all),
      address(host + ":" + std::to_string(port)),
      listener(io, host, port, [this](const http_request& request, const http_respond& respond) {
        this->handle(request, respond);
      }) {}

std::int64_t runner::clock_ms() const {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - this->born).count();
}

void runner::start() {
  this->born = steady_clock::now();
  this->born_ms = wall_ms();
  this->token = this->first_token;
  this->until_ms = 0;
  this->next_end = 1;
  this->up = true;
  this->listener.open();
  this->out.line("runner " + this->id + " starts, born " + std::to_string(this->born_ms));
}

void runner::crash() {
  this->up = false;
  for (const auto& [task, run] : this->runs) {
    this->seen[run.seen].ended = this->out.seconds();
    this->seen[run.seen].how = "crash";
    this->out.line("run " + task + " " + std::to_string(run.run) + " on " + this->id +
                   " is lost: its runner crashes");
  }
  this->runs.clear();
  this->closed.clear();
  this->finished.clear();
  this->polls.clear();
  this->listener.close();
  this->out.line("runner " + this->id + " crashes");
}

json runner::entry() const {
  return {{"Service", this->pool},
          {"Address", this->address},
          {"Zone", this->zone},
          {"Version", "1"},
          {"Slots", 8},
          {"State", "ready"},
          {"ColdLeftMs", 0},
          {"Sequence", ++this->beats},
          {"born", this->born_ms},
          {"Labels", this->labels},
          {"Capacity", {{"Cpu", this->cpu}, {"MemMb", this->memory}, {"Gpu", 0}}}};
}

http_response runner::conflict(const char* reason) const {
  return reply(409, {{"ClockMs", this->clock_ms()}, {"Reason", reason}, {"born", this->born_ms}});
}

void runner::extend(std::int64_t until) {
  this->until_ms = std::max(this->until_ms, std::min(until, this->clock_ms() + hold_max_ms));
}

void runner::handle(const http_request& request, const http_respond& respond) {
  if (!this->up) {
    return;
  }
  this->advance();
  if (request.header("Target-Instance") != this->id) {
    respond(reply(421, json::object()));
    return;
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    respond(reply(400, json::object()));
    return;
  }
  const auto given = body.value("FencingToken", std::int64_t{0});
  if (given < this->token) {
    if (this->first_token > 0) {
      this->out.line(this->id + " answers " + request.path + " with 409 fence: token " +
                     std::to_string(given) + " is lower than " + std::to_string(this->token));
    }
    respond(this->conflict("fence"));
    return;
  }
  this->token = given;
  if (request.path == "/v1/run-start") {
    respond(this->run_start(body));
  } else if (request.path == "/v1/run-stop") {
    respond(this->run_stop(body));
  } else if (request.path == "/v1/hold") {
    this->hold(body, respond);
  } else {
    respond(reply(404, json::object()));
  }
}

http_response runner::run_start(const json& body) {
  const auto task = body.at("Task").get<std::string>();
  const auto run = body.at("RunId").get<int>();
  const auto until = body.at("UntilMs").get<std::int64_t>();
  const auto work = body.at("Spec").get<std::string>();
  if (until <= this->clock_ms()) {
    return this->conflict("late");
  }
  this->extend(until);
  const auto known = this->runs.find(task);
  if (known != this->runs.end() && known->second.run == run) {
    return reply(200, {{"ClockMs", this->clock_ms()}, {"born", this->born_ms}});
  }
  const auto over = this->closed.find(task);
  if (known != this->runs.end() || (over != this->closed.end() && run <= over->second)) {
    return this->conflict("old");
  }
  if (this->ticket_until &&
      this->ticket_until(body.value("Ticket", std::string())) < steady_clock::now()) {
    return this->conflict("ticket");
  }
  live next;
  next.run = run;
  next.ends = steady_clock::now() + far_away;
  if (const auto [ms, how] = work_of(work, task, run); ms >= 0) {
    next.ends = steady_clock::now() + milliseconds(ms);
    next.how = how;
  }
  next.seen = this->seen.size();
  this->seen.push_back({task, run, this->id, this->out.seconds(), -1, ""});
  this->runs[task] = next;
  this->out.line("run " + task + " " + std::to_string(run) + " starts on " + this->id);
  return reply(200, {{"ClockMs", this->clock_ms()}, {"born", this->born_ms}});
}

http_response runner::run_stop(const json& body) {
  const auto task = body.at("Task").get<std::string>();
  const auto run = body.at("RunId").get<int>();
  int& highest = this->closed[task];
  highest = std::max(highest, run);
  const auto it = this->runs.find(task);
  if (it != this->runs.end() && it->second.run <= run && !it->second.stopping) {
    it->second.stopping = true;
    it->second.ends = std::min(it->second.ends, steady_clock::now() + milliseconds(100));
    it->second.how = "stopped";
    this->out.line("stop of " + task + " " + std::to_string(run) + " on " + this->id);
  }
  return reply(200, {{"ClockMs", this->clock_ms()}, {"born", this->born_ms}});
}

void runner::hold(const json& body, const http_respond& respond) {
  if (body.contains("UntilMs")) {
    this->extend(body["UntilMs"].get<std::int64_t>());
  }
  const auto last = body.value("LastSeen", std::int64_t{0});
  std::erase_if(this->finished,
                [last](const json& row) { return row.at(0).get<std::int64_t>() <= last; });
  const int wait = body.value("WaitMs", 0);
  if (wait == 0 || !this->finished.empty()) {
    respond(this->report());
    return;
  }
  this->polls.push_back({steady_clock::now() + milliseconds(wait), respond});
}

http_response runner::report() const {
  json body = {{"ClockMs", this->clock_ms()},
               {"born", this->born_ms},
               {"RunningCount", json::array()},
               {"Finished", json::array()}};
  for (const auto& [task, run] : this->runs) {
    body["RunningCount"].push_back({task, run.run, "", 100, 0});
  }
  for (std::size_t i = 0; i < this->finished.size() && i < 500; ++i) {
    body["Finished"].push_back(this->finished[i]);
  }
  return reply(200, body);
}

void runner::end(const std::string& task, const live& run, const std::string& how) {
  this->finished.push_back({this->next_end++, task, run.run, how, ""});
  int& highest = this->closed[task];
  highest = std::max(highest, run.run);
  this->seen[run.seen].ended = this->out.seconds();
  this->seen[run.seen].how = how;
  this->out.line("run " + task + " " + std::to_string(run.run) + " on " + this->id + " ends " +
                 how);
}

void runner::advance() {
  if (!this->up) {
    return;
  }
  const bool lapsed = this->clock_ms() >= this->until_ms;
  for (auto it = this->runs.begin(); it != this->runs.end();) {
    const bool over = it->second.ends <= steady_clock::now();
    if (!over && !lapsed) {
      ++it;
      continue;
    }
    const std::string task = it->first;
    const live run = it->second;
    it = this->runs.erase(it);
    this->end(task, run, over ? run.how : "lapsed");
  }
  this->answer_polls(!this->finished.empty());
}

void runner::answer_polls(bool all) {
  std::vector<waiting> due;
  std::erase_if(this->polls, [&](waiting& poll) {
    const bool is_due = all || poll.until <= steady_clock::now();
    if (is_due) {
      due.push_back(std::move(poll));
    }
    return is_due;
  });
  for (const waiting& poll : due) {
    poll.respond(this->report());
  }
}

cell::cell(const std::string& record_path, int daemon_count, std::vector<runner_plan> plans)
    : out(record_path),
      folder(make_folder()),
      net(random_net()),
      events(::open((this->folder + "/store.log").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644),
             this->time, "store"),
      store(this->loop, this->time, this->events, daemon_count, 1) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGALRM, SIGABRT}) {
    std::signal(number, give_up);
  }
  alarm(longest_s);
  for (std::size_t i = 0; i < plans.size(); ++i) {
    auto r = std::make_unique<runner>(this->io, this->out, this->seen, "w-" + std::to_string(i),
                                      this->host(200), static_cast<std::uint16_t>(runner_port + i));
    r->zone = "z" + std::to_string(i % 3);
    r->labels = plans[i].labels;
    r->pool = plans[i].pool;
    r->registers = plans[i].registers;
    r->first_token = plans[i].first_token;
    this->runners.push_back(std::move(r));
  }
  const std::string shape = read_file("deploy/monsoonmuxd.yaml.tmpl");
  for (int i = 0; i < daemon_count; ++i) {
    daemon d;
    d.name = "d" + std::to_string(i);
    d.zone = "z" + std::to_string(i % 3);
    d.host = this->host(10 + i);
    d.settings = this->folder + "/" + d.name + ".yaml";
    d.log = this->folder + "/" + d.name + ".log";
    d.store_host = this->host(100 + i);
    d.store = std::make_unique<monsoonmux::soak::faulty_listener>(
        this->io, d.store_host, store_port,
        [this, i](const http_request& request, const http_respond& respond) {
          this->store_call(i, request, respond);
        });
    monsoonmux::platform::boot_settings s;
    s.daemon = d.name;
    s.domain = d.zone;
    s.address = d.host;
    s.peer_port = peer_port;
    s.callers = d.host + ":" + std::to_string(callers_port);
    s.readiness = d.host + ":" + std::to_string(readiness_port);
    s.store = d.store_host + ":" + std::to_string(store_port);
    s.lease = millis{hold_max_ms};
    s.stop_grace = millis{stop_grace_ms};
    s.shutdown_grace = millis{6'000};
    s.heartbeat = millis{heartbeat_ms};
    s.host.cores = 0.25;
    s.host.link_mbps = 1'000;
    std::ofstream(d.settings) << monsoonmux::soak::render_settings(shape, s);
    this->daemons.push_back(std::move(d));
  }
  this->thread = std::thread([this] { this->io.run(); });
}

cell::~cell() {
  for (const daemon& d : this->daemons) {
    if (d.refused > 0) {
      this->out.line("appends of " + d.name +
                     " refused for their size: " + std::to_string(d.refused));
    }
  }
  for (daemon& d : this->daemons) {
    if (d.pid > 0) {
      started[&d - this->daemons.data()] = 0;
      kill(d.pid, SIGCONT);
      kill(d.pid, SIGKILL);
      waitpid(d.pid, nullptr, 0);
    }
  }
  this->io.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    for (const daemon& d : this->daemons) {
      unlink(d.settings.c_str());
      unlink(d.log.c_str());
    }
    unlink((this->folder + "/store.log").c_str());
    rmdir(this->folder.c_str());
  } else {
    std::fprintf(stderr, "logs: %s\n", this->folder.c_str());
  }
}

std::string cell::host(int number) const {
  return this->net + std::to_string(number);
}

void cell::store_call(int number, const http_request& request, const http_respond& respond) {
  daemon& d = this->daemons[static_cast<std::size_t>(number)];
  const std::string topic = request.parameter("Topic");
  if (request.path == "/v1/log-append") {
    const std::int64_t largest = largest_record(request.body);
    if (largest < 0 || largest > record_bytes ||
        static_cast<std::int64_t>(request.body.size()) > call_bytes) {
      constexpr int noted = 3;
      if (d.refused++ < noted) {
        this->out.line("store refuses an append of " + d.name + " to " + topic +
                       " with 413: largest record " + std::to_string(largest) + " bytes, call " +
                       std::to_string(request.body.size()) + " bytes");
      }
      respond(reply(413, {{"Reason", "size"}}));
      return;
    }
    const bool conditional = !request.parameter("At").empty();
    this->store.handle(number, d.host, request,
                       [this, number, conditional, respond](const http_response& answer) {
                         if (conditional && answer.status == 200) {
                           this->writer = number;
                         }
                         respond(answer);
                       });
    return;
  }
  this->store.handle(number, d.host, request, respond);
}

void cell::add_advice() {
  for (daemon& d : this->daemons) {
    const std::string host = d.store_host;
    d.advice = std::make_unique<monsoonmux::soak::faulty_listener>(
        this->io, host, advice_port,
        [this, &d](const http_request& request, const http_respond& respond) {
          this->advise(d, request, respond);
        });
    std::string text = read_file(d.settings);
    const std::string none = "advice: \"\"";
    const std::size_t at = text.find(none);
    if (at == std::string::npos) {
      throw cannot_run("the settings have no place for the advice service");
    }
    text.replace(at, none.size(), "advice: \"" + host + ":" + std::to_string(advice_port) + "\"");
    std::ofstream(d.settings) << text;
  }
  for (const auto& r : this->runners) {
    r->ticket_until = [this](const std::string& ticket) {
      const auto it = this->tickets.find(ticket);
      return it == this->tickets.end() ? steady_clock::time_point() : it->second;
    };
  }
}

// Answers after DecideMs and EachMs for each runner, one call after the other.
void cell::advise(daemon& d, const http_request& request, const http_respond& respond) {
  const json body = json::parse(request.body, nullptr, false);
  const auto step = body.at("Step").get<std::string>();
  json terms;
  {
    const std::lock_guard guard(this->route_lock);
    const std::string& prefix = this->route_of_job[step.substr(0, step.find('.'))];
    for (const json& route : this->configuration.at("Routes")) {
      if (route.at("PathPrefix") == prefix) {
        terms = route.at("Advice");
      }
    }
  }
  const double ms = terms.at("DecideMs").get<double>() +
                    terms.at("EachMs").get<double>() * static_cast<double>(body["Workers"].size());
  const auto now = steady_clock::now();
  d.advice_free = std::max(d.advice_free, now) + milliseconds(static_cast<int>(ms));
  const auto wait = std::chrono::duration_cast<milliseconds>(d.advice_free - now).count();
  this->loop.after(millis{wait}, [this, body, step, terms, respond, name = d.name] {
    json good = json::array();
    for (const json& worker : body["Workers"]) {
      const std::string ticket =
          step + "/" + worker.get<std::string>() + "/" + std::to_string(this->tickets.size());
      this->tickets[ticket] = steady_clock::now() + milliseconds(terms.at("ValidMs").get<int>());
      good.push_back({worker, ticket});
    }
    this->out.line("advice for " + step + " to " + name + ": " + std::to_string(good.size()) +
                   " runners");
    respond(reply(200, {{"Good", good}}));
  });
}

void cell::spawn(daemon& d) {
  const std::string program = "target/platform/monsoonmuxd";
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, d.log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  std::string boot = "MONSOONMUX_BOOT=" + d.settings;
  std::string path =
      std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin");
  char* variables[] = {boot.data(), path.data(), nullptr};
  std::string name = program;
  char* arguments[] = {name.data(), nullptr};
  const int error = posix_spawn(&d.pid, program.c_str(), &files, nullptr, arguments, variables);
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) {
    d.pid = 0;
    throw cannot_run("cannot start " + program);
  }
  started[&d - this->daemons.data()] = d.pid;
  this->out.line("daemon " + d.name + " started, zone " + d.zone);
}

void cell::list(runner& r) {
  if (r.up && r.registers) {
    this->store.put("keyed.servers", r.id, r.entry().dump());
  }
}

void cell::beat() {
  for (const auto& r : this->runners) {
    this->list(*r);
  }
  this->beat_timer.expires_after(milliseconds(heartbeat_ms));
  this->beat_timer.async_wait([this](asio::error_code error) {
    if (!error) {
      this->beat();
    }
  });
}

void cell::tick() {
  this->store.advance();
  for (const auto& r : this->runners) {
    r->advance();
  }
  this->tick_timer.expires_after(milliseconds(5));
  this->tick_timer.async_wait([this](asio::error_code error) {
    if (!error) {
      this->tick();
    }
  });
}

void cell::start(json config) {
  try {
    this->call([&] {
      for (daemon& d : this->daemons) {
        d.store->open();
        if (d.advice) {
          d.advice->open();
        }
      }
      for (const auto& r : this->runners) {
        r->start();
      }
      this->beat();
      this->tick();
    });
  } catch (const std::exception& error) {
    throw cannot_run(error.what());
  }
  this->configure(std::move(config));
  for (daemon& d : this->daemons) {
    this->spawn(d);
  }
  for (int i = 0; i < 200; ++i) {
    this->sleep(0.1);
    bool all = this->last_conditional_writer() >= 0;
    for (int n = 0; all && n < this->daemon_count(); ++n) {
      all = this->request(n, "GET", "/q/", "key-a").status == 200;
    }
    if (all) {
      this->sleep(3);
      this->out.line("all daemons answer");
      return;
    }
  }
  throw cannot_run("the daemons are not ready");
}

void cell::configure(json config) {
  this->out.line("configuration, version " + std::to_string(config.at("Version").get<int>()));
  this->call([&] {
    this->configuration = config;
    this->store.put("keyed.op", "config", config.dump());
  });
}

int cell::last_conditional_writer() {
  return this->call([&] { return this->writer; });
}

void cell::sleep(double seconds) const {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

answer cell::request(int number, const std::string& method, const std::string& path,
                     const std::string& key, const std::string& body, double timeout_s) {
  const std::string& to = this->daemons[static_cast<std::size_t>(number)].host;
  const auto until = steady_clock::now() + std::chrono::duration<double>(timeout_s);
  const auto left = [&] {
    return static_cast<int>(
        std::chrono::duration_cast<milliseconds>(until - steady_clock::now()).count());
  };
  const int s = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(callers_port);
  inet_pton(AF_INET, to.c_str(), &address.sin_addr);
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host_name +
                     "\r\nContent-Type: application/json\r\nDeadline-Ms: 3000\r\n" +
                     (key.empty() ? "" : "Key: " + key + "\r\n") +
                     "Content-Length: " + std::to_string(body.size()) +
                     "\r\nConnection: close\r\n\r\n" + body;
  std::string got;
  answer result;
  connect(s, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  std::size_t sent = 0;
  while (left() > 0) {
    pollfd p{s, static_cast<short>(sent < text.size() ? POLLOUT | POLLIN : POLLIN), 0};
    if (poll(&p, 1, left()) <= 0) {
      break;
    }
    if ((p.revents & POLLOUT) != 0 && sent < text.size()) {
      const ssize_t n = ::send(s, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n > 0) {
        sent += static_cast<std::size_t>(n);
      } else if (errno != EAGAIN) {
        break;
      }
    }
    if ((p.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
      char chunk[16'384];
      const ssize_t n = ::recv(s, chunk, sizeof(chunk), 0);
      if (n > 0) {
        got.append(chunk, static_cast<std::size_t>(n));
      } else if (n == 0 || errno != EAGAIN) {
        break;
      }
    }
    const std::size_t head = got.find("\r\n\r\n");
    const std::size_t field = got.find("Content-Length: ");
    if (head != std::string::npos && field != std::string::npos && field < head &&
        got.size() >= head + 4 + std::stoul(got.substr(field + 16))) {
      result.status = std::stoi(got.substr(9, 3));
      result.body = got.substr(head + 4, std::stoul(got.substr(field + 16)));
      break;
    }
  }
  ::close(s);
  this->out.line(method + " " + path + " at d" + std::to_string(number) +
                 (body.size() > 300 ? " (" + std::to_string(body.size()) + " bytes)" : " " + body) +
                 " -> " + (result.status == 0 ? "no answer" : std::to_string(result.status)) + " " +
                 result.body);
  return result;
}

answer cell::submit(const std::string& path, const std::string& key, const json& job, int first) {
  constexpr int repeats = 4;
  const std::string body = job.dump();
  {
    const std::lock_guard guard(this->route_lock);
    const std::size_t slash = path.rfind('/') + 1;
    this->route_of_job[path.substr(slash)] = path.substr(0, slash);
  }
  answer last;
  for (int i = 0; i <= repeats; ++i) {
    last = this->request((first + i) % this->daemon_count(), "POST", path, key, body);
    const bool again = last.status == 0 || last.status == 429 || last.status == 502 ||
                       last.status == 503 || last.status == 504;
    if (!again) {
      break;
    }
    this->sleep(last.status == 429 || last.status == 503 ? 1.0 : 0.2);
  }
  return last;
}

std::string cell::state(const std::string& path, const std::string& key, int number) {
  const answer a = this->request(number, "GET", path, key);
  if (a.status != 200) {
    return std::to_string(a.status);
  }
  return json::parse(a.body).value("State", "");
}

void cell::crash_runner(int number) {
  this->call([&] { this->runners[static_cast<std::size_t>(number)]->crash(); });
}

void cell::restart_runner(int number) {
  this->call([&] {
    runner& r = *this->runners[static_cast<std::size_t>(number)];
    r.start();
    this->list(r);
  });
}

void cell::register_runner(int number) {
  this->call([&] {
    runner& r = *this->runners[static_cast<std::size_t>(number)];
    r.registers = true;
    this->list(r);
    this->out.line("entry of another writer: " + r.id + " " + r.entry().dump());
  });
}

bool cell::daemon_alive(int number) {
  daemon& d = this->daemons[static_cast<std::size_t>(number)];
  int status = 0;
  if (d.pid > 0 && waitpid(d.pid, &status, WNOHANG) == d.pid) {
    started[number] = 0;
    this->out.line("daemon " + d.name + " has ended by itself, status " + std::to_string(status));
    d.pid = 0;
  }
  return d.pid > 0;
}

std::vector<run_seen> cell::runs() {
  return this->call([&] { return this->seen; });
}

std::vector<run_seen> cell::runs_of(const std::string& job) {
  std::vector<run_seen> out_runs;
  for (const run_seen& r : this->runs()) {
    if (r.task.rfind(job + ".", 0) == 0) {
      out_runs.push_back(r);
    }
  }
  return out_runs;
}

std::optional<run_seen> cell::live_run(const std::string& task) {
  for (const run_seen& r : this->runs()) {
    if (r.task == task && r.ended < 0) {
      return r;
    }
  }
  return std::nullopt;
}

int cell::runner_number(const std::string& id) const {
  for (std::size_t i = 0; i < this->runners.size(); ++i) {
    if (this->runners[i]->id == id) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

json plain_config(int version) {
  return {{"Version", version},
          {"Routes",
           {{{"Name", "queue-a"},
             {"Host", host_name},
             {"PathPrefix", "/q/"},
             {"Service", "pool-a"},
             {"Priority", 1},
             {"MaxAttempts", 4},
             {"Stretch", 4.0},
             {"TargetLatencyMs", 3'000},
             {"TimeoutMs", 4'000}}}},
          {"Services", {{{"Name", "pool-a"}}}},
          {"Tenants", {{{"Name", "tenant-a"}, {"ApiKeys", {"key-a"}}, {"Weight", 1}}}},
          {"Limits", json::object()}};
}

json step(int count, int cpu) {
  return {{"Count", count}, {"Cpu", cpu}, {"MemMb", 64}, {"EstimateMs", 1'000}};
}

std::string new_id() {
  std::random_device source;
  char text[17];
  std::snprintf(text, sizeof(text), "%08x%08x", source(), source());
  return text;
}

bool trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
