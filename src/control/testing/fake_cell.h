#pragma once

#include <memory>

#include "control/domain_placer.h"
#include "control/testing/fake_worker.h"
#include "journal/log_follower.h"

namespace monsoonmux {

// An in-memory log service with delays, lost answers and outages.
class fake_cell_log final : public log_service {
 public:
  explicit fake_cell_log(fake_world& world) : world(world) {}
  bool down = false;
  int lose_answers_percent = 0;

  void append(std::string bytes, reply<log_offset> done) override;
  void read(log_offset from, reply<log_page> done) override;

  std::vector<std::string> entries;

 private:
  fake_world& world;
};

struct fake_daemon;

// Records the events of one daemon with the time of the fake clock.
class event_log final : public event_sink {
 public:
  event_log(fake_world& world, std::string daemon, std::vector<std::string>* lines)
      : world(world), daemon(std::move(daemon)), lines(lines) {}
  void emit(std::string_view kind, std::vector<event_field> fields) override;

 private:
  fake_world& world;
  std::string daemon;
  std::vector<std::string>* lines;
};

// A daemon's connection to the workers through the simulated network.
class fake_worker_port final : public worker_port {
 public:
  fake_worker_port(fake_world& world, std::map<worker_id, std::unique_ptr<fake_worker>>& workers,
                   fake_daemon& daemon)
      : world(world), workers(workers), daemon(daemon) {}

  void acquire(const worker_id& worker, placement_lease_request request,
               reply<placement_lease_answer> done) override;
  void sync(const worker_id& worker, sync_request request, reply<worker_report> done) override;
  void start(const worker_id& worker, start_request request, reply<void> done) override;
  void stop(const worker_id& worker, stop_request request, reply<void> done) override;

 private:
  template <class T, class Act>
  void send(const worker_id& worker, instant send_by, reply<T> done, Act act);

  fake_world& world;
  std::map<worker_id, std::unique_ptr<fake_worker>>& workers;
  fake_daemon& daemon;
};

// One daemon: a log writer and follower, and a placer for each domain. A paused daemon
// does nothing and receives its answers when it resumes; a dead one never does.
struct fake_daemon : std::enable_shared_from_this<fake_daemon> {
  fake_daemon(fake_world& world, std::map<worker_id, std::unique_ptr<fake_worker>>& workers,
              fake_cell_log& log, const std::string& name, const domain_id& home,
              std::int64_t incarnation, const std::vector<domain_id>& domains,
              std::vector<std::string>* lines);

  // Runs the action now, when the daemon resumes if it is paused, or never if it is
  // dead.
  void deliver(std::function<void()> action);
  void tick();
  void pause(millis span);
  // Name and incarnation, which identify this start of the daemon in the history.
  std::string writer_name() const { return this->name + "#" + std::to_string(this->incarnation); }

  fake_world& world;
  std::string name;
  domain_id home;
  std::int64_t incarnation = 0;
  bool alive = true;
  instant paused_until;
  event_log events;
  replica state;
  fake_cell_log* log = nullptr;
  std::unique_ptr<log_service> log_path;
  std::unique_ptr<log_service> no_peers;
  std::unique_ptr<log_writer> writer;
  std::unique_ptr<log_follower> follower;
  fake_worker_port port;
  std::map<domain_id, std::shared_ptr<domain_placer>> placers;
  std::vector<std::function<void()>> deferred;
};

// A cell of daemons, workers and a log in one process, for tests of the production
// placer code under failures. Its behaviour is determined by the seed.
class fake_cell {
 public:
  struct layout {
    int domains = 2;
    int daemons_per_domain = 2;
    int workers_per_domain = 3;
    resources worker_size = {{4'000}, {4'096}, {0}};
    resources team_limit = {{1'000'000}, {1'000'000}, {0}};
    int teams = 2;
  };

  fake_cell(unsigned seed, const layout& shape);

  void run(millis span) { this->world.run_until(this->world.time.now() + span); }
  // Submits through a random live daemon; the history records the acceptance.
  void submit(job_spec spec, const std::vector<job_part>& parts);
  void cancel(const job_id& job);
  void patch(const std::string& text);
  fake_daemon& daemon(std::size_t i) { return *this->daemons[i]; }
  std::size_t daemon_count() const { return this->daemons.size(); }
  // Kills the daemon. After `gap` a new one starts with the same name and no state.
  void replace_daemon(std::size_t i, millis gap);
  fake_worker& worker(std::size_t i);
  std::size_t worker_count() const { return this->workers.size(); }
  domain_id domain(int i) const { return domain_id("d" + std::to_string(i)); }
  // Partitions a domain's daemons and workers from other domains, and its daemons
  // from the log.
  void cut_domain(int i);
  void heal();
  // Returns the number of live daemons that are not paused and whose placer for the
  // domain is not idle.
  int placers_of(const domain_id& domain) const;
  // Adds the terminal task states known to a live daemon to the history.
  void record_ends();
  std::set<domain_id> cut_from_log;

  fake_world world;
  history recorded;
  std::vector<std::string> time_line;  // One line per event of any daemon.
  fake_cell_log log;
  std::map<worker_id, std::unique_ptr<fake_worker>> workers;
  std::map<std::string, team_id> teams;

 private:
  void start_daemon(std::size_t i);
  void tick(std::size_t i, std::int64_t incarnation);
  fake_daemon& live_daemon();

  layout shape;
  std::vector<domain_id> domains;
  std::vector<std::shared_ptr<fake_daemon>> daemons;
  std::vector<std::int64_t> incarnations;
};

}  // namespace monsoonmux
