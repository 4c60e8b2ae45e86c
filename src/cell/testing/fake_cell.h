#pragma once

#include <fcntl.h>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cell/cell_daemon.h"
#include "cell/testing/fake_advice.h"
#include "cell/testing/fake_frames.h"
#include "cell/testing/fake_runner_port.h"
#include "cell/testing/fake_runners.h"
#include "cell/testing/fake_sources.h"
#include "cell/testing/fake_store.h"

namespace monsoonmux::cell {

class fake_cell;

// Delivers datagrams between the daemons of a fake cell.
class fake_peers final : public peer_port {
 public:
  fake_peers(fake_cell& cell, fake_uplink& uplink, std::string self)
      : cell(cell), uplink(uplink), self(std::move(self)) {}
  void send(const peer_message& message, const peer_address& to) override;

 private:
  fake_cell& cell;
  fake_uplink& uplink;
  const std::string self;
};

// A complete cell in one thread on a simulated clock: daemons, runners and the store that
// holds the log, with injected faults.
class fake_cell {
 public:
  // Options of daemons whose runners grant no longer leases than commands ask for.
  static daemon_options short_leases() {
    daemon_options out;
    out.leader.session.runner_max_lease = max_lease;
    return out;
  }

  // `common`: the options of all daemons. Their names and addresses are filled in.
  // `domain_count`: the failure domains among which daemons and runners are spread.
  fake_cell(int daemon_count, int runner_count, std::uint32_t seed,
            const daemon_options& common = short_leases(), int domain_count = 1)
      : common_options(common),
        domains(domain_count),
        events(log_descriptor(), loop, "test"),
        store(loop, seed),
        random(seed) {
    queue_config queue;
    queue.name = queue_id("q");
    queue.host = "h";
    queue.path_prefix = "/q/";
    queue.pool = pool_id("s");
    queue.max_attempts = 4;
    queue.open = true;
    this->config.version = config_version{1};
    this->config.queues.push_back(queue);
    this->config.pools.push_back({pool_id("s"), false, false});
    for (int i = 0; i < runner_count; ++i) {
      this->runners.push_back(std::make_unique<fake_runner>(this->loop, this->history, this->events,
                                                            "i-" + std::to_string(i), runner_size,
                                                            seed + i));
      this->runners.back()->entry.domain = this->domain_of(i);
      this->runners.back()->max_lease = common.leader.session.runner_max_lease;
      this->runners.back()->on_back = [this, id = this->runners.back()->entry.id] {
        this->store.put("runners", id, "1");
      };
      this->store.put("runners", this->runners.back()->entry.id, "1");
    }
    this->store.put("op", "config", "1");
    this->frames.random.seed(seed);
    this->frames.reaches = [this](const std::string& from, const std::string& to) {
      return this->reaches(from, to);
    };
    for (int i = 0; i < daemon_count; ++i) {
      this->nodes.push_back(std::make_unique<node>(*this, i, seed));
      this->nodes.back()->boot(*this);
    }
  }

  // Connections refer to both of their nodes, so all processes end before any node is
  // destroyed.
  ~fake_cell() {
    for (auto& n : this->nodes) {
      n->kill();
    }
  }
  fake_cell(const fake_cell&) = delete;
  fake_cell& operator=(const fake_cell&) = delete;

  struct node {
    node(fake_cell& cell, int index, std::uint32_t seed)
        : process(cell.loop),
          name("d" + std::to_string(index)),
          uplink(cell.loop),
          log(cell.store, this->process, this->uplink, this->name),
          commands(cell.loop, this->process, this->name, cell.runners, seed * 31 + index),
          advice(cell.loop, this->process, cell.advice, cell.runners),
          peers(cell, this->uplink, this->name),
          host{this->process, this->agent},
          domain(cell.domain_of(index)),
          dialer(this->process, this->name, this->uplink, cell.frames,
                 [&cell](const std::string& to) { return cell.agent_host(to); }),
          events(log_descriptor(), cell.loop, this->name),
          time(cell.loop),
          sources(cell.config, cell.runners) {}

    void boot(fake_cell& cell) {
      daemon_options options = cell.common_options;
      options.self = daemon_id(this->name);
      options.address = this->name;
      options.peer_port = 1;
      if (cell.domains > 1) {
        options.domain = this->domain;
      }
      options.leader.session.max_lease = max_lease;
      this->agent =
          std::make_unique<runner_agent>(this->process, this->commands, cell.loop, this->events);
      this->daemon =
          std::make_unique<cell_daemon>(this->process,
                                        daemon_ports{this->log, this->commands, this->dialer,
                                                     this->advice, this->peers, this->sources},
                                        this->time, this->events, this->metrics, options);
      this->daemon->start();
    }
    void kill() {
      this->process.kill();
      this->daemon.reset();
      this->agent.reset();
    }

    fake_process process;
    std::string name;
    fake_uplink uplink;
    fake_store_port log;
    fake_runner_port commands;
    fake_advice advice;
    fake_peers peers;
    std::unique_ptr<runner_agent> agent;
    fake_agent_host host;
    const domain_id domain;
    fake_dialer dialer;
    event_log events;
    counting_clock time;  // Of the daemon.
    fake_sources sources;
    metric_registry metrics;
    std::unique_ptr<cell_daemon> daemon;
  };

  // The failure domain of the daemon or runner with this index.
  domain_id domain_of(int index) const {
    return this->domains == 1 ? domain_id{}
                              : domain_id("z" + std::to_string(index % this->domains));
  }
  // Cuts a failure domain off: its daemons and runners reach each other and nobody else.
  void cut_off(const domain_id& domain) {
    this->end_cut();
    for (const auto& n : this->nodes) {
      if (n->domain == domain) {
        this->store.cut_off.insert(n->name);
      }
      for (auto& runner : this->runners) {
        if ((n->domain == domain) != (runner->entry.domain == domain)) {
          runner->cut_off.insert(n->name);
        }
      }
    }
  }
  void end_cut() {
    this->store.cut_off.clear();
    for (auto& runner : this->runners) {
      runner->cut_off.clear();
    }
  }
  // True if what a daemon sends to another one arrives.
  bool reaches(const std::string& from, const std::string& to) const {
    const std::set<std::string>& cut = this->store.cut_off;
    return !this->isolated.contains(from) && !this->isolated.contains(to) &&
           cut.contains(from) == cut.contains(to);
  }

  // Adds a queue for a team that may use `team_limit`. Call before the daemons have read the
  // configuration.
  void add_limited_team() {
    queue_config queue = this->config.queues.front();
    queue.name = queue_id("limited");
    queue.path_prefix = "/limited/";
    queue.open = false;
    this->config.queues.push_back(queue);
    team_config team;
    team.name = team_id("t");
    team.keys = {team_key};
    team.limit.cpu = team_limit;
    this->config.teams.push_back(team);
  }

  // Adds a queue for a second pool, which consists of the runners from this index on. Call
  // before the daemons have read the configuration.
  void add_second_pool(std::size_t first_runner) {
    queue_config queue = this->config.queues.front();
    queue.name = queue_id("second");
    queue.path_prefix = second_path;
    queue.pool = pool_id("second");
    this->config.queues.push_back(queue);
    this->config.pools.push_back({queue.pool, false, false});
    for (std::size_t i = first_runner; i < this->runners.size(); ++i) {
      this->runners[i]->entry.pool = queue.pool;
    }
  }

  // Makes the open queue need advice. Call before the daemons have read the configuration.
  void add_advice(const advice_config& terms) {
    this->advice.terms = terms;
    this->config.queues.front().advice = terms;
  }
  // The same for all queues. Each step may run on all runners but one.
  void add_advice_to_all_queues(const advice_config& terms) {
    this->advice.terms = terms;
    this->advice.excludes_one = true;
    for (queue_config& queue : this->config.queues) {
      queue.advice = terms;
    }
  }

  // Submits a job of the limited team.
  void submit_limited(int daemon, const std::string& id, const job_spec& spec) {
    this->submit(daemon, id, spec, "/limited/", team_key);
  }

  // Submits a job at a daemon and records whether the daemon accepted or refused it.
  void submit(int daemon, const std::string& id, job_spec spec, const std::string& prefix = "/q/",
              const std::string& key = "") {
    if (this->before_submit) {
      this->before_submit(spec);
    }
    node& at = *this->nodes[static_cast<std::size_t>(daemon)];
    if (!at.daemon) {
      return;
    }
    const auto from = at.daemon->handler().identify("h", prefix + id, key);
    if (from.has_error()) {
      return;
    }
    constexpr millis deadline{1'000};
    const queue_config& queue = *from.value().queue;
    this->history.jobs[id] = {spec, queue.pool, queue.advice};
    at.daemon->handler().submit(from.value(), job_id(id), spec, this->loop.now() + deadline,
                                [this, id](const result<void>& answer) {
                                  if (answer.has_value()) {
                                    this->accepted.insert(id);
                                  } else if (answer.error().effect == verdict::not_run) {
                                    this->refused.insert(id);
                                  }
                                });
  }

  std::optional<job_phase> phase(const std::string& id) {
    for (auto& n : this->nodes) {
      if (n->daemon) {
        const auto phase = n->daemon->handler().phase_of(job_id(id));
        if (phase.has_value()) {
          return phase.value();
        }
      }
    }
    return std::nullopt;
  }

  static job_spec simple_job(int tasks) {
    job_spec spec;
    spec.payload = "p";
    step_spec step;
    step.count = tasks;
    step.need = {millicores{1'000}, mebibytes{100}, devices{0}};
    step.estimate = millis{800};
    spec.steps = {step};
    return spec;
  }

  fake_agent_host* agent_host(const std::string& name) {
    for (auto& n : this->nodes) {
      if (n->name == name) {
        return &n->host;
      }
    }
    return nullptr;
  }

  // The answer to a caller's phase request at this daemon; empty if there is none within
  // `wait`.
  std::optional<result<std::optional<job_phase>>> ask(int daemon, const std::string& id,
                                                      millis wait) {
    auto response = std::make_shared<std::optional<result<std::optional<job_phase>>>>();
    this->nodes[static_cast<std::size_t>(daemon)]->daemon->handler().find_phase(
        job_id(id), this->loop.now() + wait,
        [response](const result<std::optional<job_phase>>& phase) { *response = phase; });
    this->loop.run_for(wait);
    return *response;
  }
  // The index of the leader; -1 if there is none.
  int leader() const {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->nodes[i]->daemon && this->nodes[i]->daemon->leads()) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }
  // The daemons that follow the work records.
  std::vector<int> followers() const {
    std::vector<int> out;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->nodes[i]->daemon && this->nodes[i]->daemon->follows_work()) {
        out.push_back(static_cast<int>(i));
      }
    }
    return out;
  }

  static int log_descriptor() {
    if (captured_log >= 0) {
      return captured_log;
    }
    return std::getenv("MONSOONMUX_ONLY_SEED") != nullptr ? 1 : ::open("/dev/null", O_WRONLY);
  }
  static inline int captured_log = -1;       // Where a test reads the events, if it does.
  static constexpr millis max_lease{6'000};  // That commands ask for.
  static constexpr const char* second_path = "/second/";
  static constexpr const char* team_key = "key of t";
  static constexpr millicores team_limit{3'000};  // Of the limited team.
  static constexpr resources runner_size{millicores{4'000}, mebibytes{4'000}, devices{0}};

  const daemon_options common_options;
  const int domains;
  fake_frame_network frames;
  fake_loop loop;
  event_log events;
  fake_store store;
  run_history history;
  std::mt19937 random;
  cell_config config;
  fake_advice_service advice;
  std::vector<std::unique_ptr<fake_runner>> runners;
  std::vector<std::unique_ptr<node>> nodes;
  std::function<void(job_spec&)> before_submit;  // Changes all jobs, if set.
  double lost_datagrams = 0;
  std::set<std::string> isolated;  // Daemons that neither send nor receive datagrams.
  std::set<std::string> accepted;
  std::set<std::string> refused;
};

inline void fake_peers::send(const peer_message& message, const peer_address& to) {
  constexpr millis network_delay{1};
  const bool lost =
      std::uniform_real_distribution<double>(0, 1)(this->cell.random) < this->cell.lost_datagrams;
  if (lost || !this->cell.reaches(this->self, to.host)) {
    return;
  }
  for (auto& node : this->cell.nodes) {
    if (node->name != to.host) {
      continue;
    }
    std::string encoded = encode(message);
    const millis delay = this->uplink.transmit(encoded.size()) + network_delay;
    node->process.after(delay, [&node = *node, bytes = std::move(encoded), from = this->self] {
      const auto received = decode_peer_message(bytes);
      if (node.daemon && received) {
        node.daemon->on_peer_message(*received, {from, 1});
      }
    });
  }
}

}  // namespace monsoonmux::cell
