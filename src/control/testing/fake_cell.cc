#include "control/testing/fake_cell.h"

namespace monsoonmux {
namespace {

constexpr millis tick_step{100};
const std::string log_endpoint = "log";

// A daemon's connection to the log, subject to partitions and the daemon's pauses.
class log_route final : public log_service {
 public:
  log_route(fake_daemon& daemon, fake_cell_log& log) : daemon(daemon), log(log) {}

  void append(std::string bytes, reply<log_offset> done) override {
    auto self = this->daemon.shared_from_this();
    if (!this->daemon.world.connected(this->daemon.name, log_endpoint)) {
      this->fail<log_offset>(done);
      return;
    }
    this->log.append(std::move(bytes), [self, done](const result<log_offset>& r) {
      self->deliver([done, r] { done(r); });
    });
  }

  void read(log_offset from, reply<log_page> done) override {
    auto self = this->daemon.shared_from_this();
    if (!this->daemon.world.connected(this->daemon.name, log_endpoint)) {
      this->fail<log_page>(done);
      return;
    }
    this->log.read(
        from, [self, done](const result<log_page>& r) { self->deliver([done, r] { done(r); }); });
  }

 private:
  template <class T>
  void fail(reply<T> done) {
    auto self = this->daemon.shared_from_this();
    this->daemon.world.after(millis{50}, [self, done] {
      self->deliver(
          [done] { done(may_have_run(error_code::connection_failed, "network partition")); });
    });
  }

  fake_daemon& daemon;
  fake_cell_log& log;
};

class no_peer final : public log_service {
 public:
  explicit no_peer(fake_world& world) : world(world) {}
  void append(std::string, reply<log_offset>) override {}
  void read(log_offset, reply<log_page> done) override {
    this->world.after(millis{1}, [done] { done(not_run(error_code::unavailable, "no peers")); });
  }

 private:
  fake_world& world;
};

}  // namespace

void fake_cell_log::append(std::string bytes, reply<log_offset> done) {
  this->world.after(this->world.delay(), [this, bytes, done] {
    if (this->down) {
      done(may_have_run(error_code::unavailable, "log unavailable"));
      return;
    }
    this->entries.push_back(bytes);
    const log_offset at{static_cast<std::int64_t>(this->entries.size()) - 1};
    const bool lost = this->world.chance(this->lose_answers_percent);
    this->world.after(this->world.delay(), [done, at, lost] {
      if (lost) {
        done(may_have_run(error_code::connection_lost, "answer lost"));
      } else {
        done(at);
      }
    });
  });
}

void fake_cell_log::read(log_offset from, reply<log_page> done) {
  this->world.after(this->world.delay(), [this, from, done] {
    if (this->down) {
      done(not_run(error_code::unavailable, "log unavailable"));
      return;
    }
    log_page page;
    page.end = {static_cast<std::int64_t>(this->entries.size())};
    for (auto i = from.value; i < page.end.value; ++i) {
      page.entries.push_back({{i}, this->entries[static_cast<std::size_t>(i)]});
    }
    this->world.after(this->world.delay(), [done, page] { done(page); });
  });
}

template <class T, class Act>
void fake_worker_port::send(const worker_id& worker, instant send_by, reply<T> done, Act act) {
  auto self = this->daemon.shared_from_this();
  const std::string me = this->daemon.name;
  auto fail = [self, done](failure f, millis after) {
    self->world.after(after, [self, done, f] { self->deliver([done, f] { done(f); }); });
  };
  if (send_by != instant{} && this->world.time.now() >= send_by) {
    fail(not_run(error_code::deadline_exceeded, "send deadline passed"), millis{1});
    return;
  }
  const auto it = this->workers.find(worker);
  if (it == this->workers.end()) {
    fail(not_run(error_code::not_found, "no such worker"), millis{1});
    return;
  }
  fake_worker* target = it->second.get();
  const auto reachable = [self, me, target] {
    return self->world.connected(me, target->host.worker.text) && target->up &&
           !self->world.chance(self->world.loss_percent);
  };
  this->world.after(this->world.delay(), [self, reachable, target, act, done, fail] {
    if (!reachable()) {
      fail(may_have_run(error_code::connection_lost, "request lost"), millis{300});
      return;
    }
    const auto answer = act(*target);
    if (!reachable()) {
      fail(may_have_run(error_code::connection_lost, "answer lost"), millis{300});
      return;
    }
    self->world.after(self->world.delay(),
                      [self, done, answer] { self->deliver([done, answer] { done(answer); }); });
  });
}

void fake_worker_port::acquire(const worker_id& worker, placement_lease_request request,
                               reply<placement_lease_answer> done) {
  this->send<placement_lease_answer>(worker, {}, std::move(done), [request](fake_worker& w) {
    return result<placement_lease_answer>(w.acquire(request));
  });
}

void fake_worker_port::sync(const worker_id& worker, sync_request request,
                            reply<worker_report> done) {
  this->send<worker_report>(worker, request.send_by, std::move(done),
                            [request](fake_worker& w) { return w.sync(request); });
}

void fake_worker_port::start(const worker_id& worker, start_request request, reply<void> done) {
  this->send<void>(worker, request.send_by, std::move(done),
                   [request](fake_worker& w) { return w.start(request); });
}

void fake_worker_port::stop(const worker_id& worker, stop_request request, reply<void> done) {
  this->send<void>(worker, {}, std::move(done),
                   [request](fake_worker& w) { return w.stop(request); });
}

fake_daemon::fake_daemon(fake_world& world,
                         std::map<worker_id, std::unique_ptr<fake_worker>>& workers,
                         fake_cell_log& log, const std::string& name, const domain_id& home,
                         std::int64_t incarnation, const std::vector<domain_id>& domains,
                         std::vector<std::string>* lines)
    : world(world),
      name(name),
      home(home),
      incarnation(incarnation),
      events(world, name, lines),
      log_path(std::make_unique<log_route>(*this, log)),
      no_peers(std::make_unique<no_peer>(world)),
      writer(std::make_unique<log_writer>(daemon_id(name), incarnation, *this->log_path,
                                          this->state, world.time, writer_options{})),
      follower(std::make_unique<log_follower>(*this->log_path, *this->no_peers, this->state,
                                              world.time, this->events, follower_options{})),
      port(world, workers, *this) {
  for (const domain_id& domain : domains) {
    std::vector<worker_host> hosts;
    for (const auto& [id, worker] : workers) {
      if (worker->host.domain == domain) {
        hosts.push_back(worker->host);
      }
    }
    auto placer = std::make_shared<domain_placer>(
        domain, daemon_id(name), name + "#" + std::to_string(incarnation), world.time, this->state,
        *this->writer, this->port, this->events, placer_options{});
    placer->set_hosts(hosts);
    placer->set_candidate(domain == home);
    this->placers[domain] = placer;
  }
}

void event_log::emit(std::string_view kind, std::vector<event_field> fields) {
  std::string line =
      std::to_string(this->world.time.now().value) + " " + this->daemon + " " + std::string(kind);
  for (const event_field& f : fields) {
    line += " " + f.name + "=" + f.value;
  }
  this->lines->push_back(std::move(line));
}

void fake_daemon::deliver(std::function<void()> action) {
  if (!this->alive) {
    return;
  }
  if (this->world.time.now() < this->paused_until) {
    this->deferred.push_back(std::move(action));
    return;
  }
  action();
}

void fake_daemon::tick() {
  if (!this->alive || this->world.time.now() < this->paused_until) {
    return;
  }
  const auto deferred_actions = std::move(this->deferred);
  this->deferred.clear();
  for (const auto& action : deferred_actions) {
    action();
  }
  this->writer->tick();
  this->follower->tick();
  for (const auto& [domain, placer] : this->placers) {
    placer->tick();
  }
}

void fake_daemon::pause(millis span) {
  this->paused_until = this->world.time.now() + span;
}

fake_cell::fake_cell(unsigned seed, const layout& shape) : world(seed), log(world), shape(shape) {
  for (int d = 0; d < shape.domains; ++d) {
    this->domains.push_back(this->domain(d));
    for (int w = 0; w < shape.workers_per_domain; ++w) {
      worker_host host;
      host.worker = worker_id("w" + std::to_string(d) + "-" + std::to_string(w));
      host.pool = pool_id("p");
      host.domain = this->domain(d);
      host.rack = rack_id("r" + std::to_string(w));
      host.total = shape.worker_size;
      this->workers[host.worker] = std::make_unique<fake_worker>(this->world, this->recorded, host);
      this->workers[host.worker]->teams = &this->teams;
      history_event e;
      e.at_ms = this->world.time.now().value;
      e.kind = history_kind::worker_size;
      e.subject = host.worker.text;
      e.amount = host.total;
      this->recorded.push_back(e);
    }
  }
  for (int i = 0; i < shape.domains * shape.daemons_per_domain; ++i) {
    this->incarnations.push_back(1);
    this->daemons.push_back(nullptr);
    this->start_daemon(static_cast<std::size_t>(i));
  }
  std::string text = R"({"teams":{)";
  for (int t = 0; t < shape.teams; ++t) {
    text += std::string(t > 0 ? "," : "") + "\"t" + std::to_string(t) + R"(":{"limit":{"cpu":)" +
            std::to_string(shape.team_limit.cpu.value) + R"(,"memory":)" +
            std::to_string(shape.team_limit.memory.value) + "}}";
    history_event e;
    e.at_ms = this->world.time.now().value;
    e.kind = history_kind::limit_in_force;
    e.team = "t" + std::to_string(t);
    e.amount = shape.team_limit;
    this->recorded.push_back(e);
  }
  text += R"(},"domains":{)";
  for (int d = 0; d < shape.domains; ++d) {
    text += std::string(d > 0 ? "," : "") + "\"" + this->domain(d).text + R"(":{"electors":[)";
    for (int w = 0; w < 3; ++w) {
      text += std::string(w > 0 ? "," : "") + "\"w" + std::to_string(d) + "-" + std::to_string(w) +
              "\"";
    }
    text += "]}";
  }
  text += "}}";
  this->log.entries.push_back(
      encode({daemon_id("operator"), 1, 1, {config_patch{{0}, text, "op", 0}}}));
}

void fake_cell::start_daemon(std::size_t i) {
  const int d = static_cast<int>(i) / this->shape.daemons_per_domain;
  this->daemons[i] = std::make_shared<fake_daemon>(
      this->world, this->workers, this->log, "m" + std::to_string(i), this->domain(d),
      this->incarnations[i], this->domains, &this->time_line);
  this->tick(i, this->incarnations[i]);
}

void fake_cell::tick(std::size_t i, std::int64_t incarnation) {
  if (this->incarnations[i] != incarnation) {
    return;
  }
  this->daemons[i]->tick();
  this->world.after(tick_step, [this, i, incarnation] { this->tick(i, incarnation); });
}

void fake_cell::replace_daemon(std::size_t i, millis gap) {
  this->daemons[i]->alive = false;
  const std::int64_t next = ++this->incarnations[i];
  this->world.after(gap, [this, i, next] {
    if (this->incarnations[i] == next) {
      this->start_daemon(i);
    }
  });
}

fake_worker& fake_cell::worker(std::size_t i) {
  return *std::next(this->workers.begin(), static_cast<std::ptrdiff_t>(i))->second;
}

fake_daemon& fake_cell::live_daemon() {
  constexpr int tries = 100;
  for (int i = 0; i < tries; ++i) {
    auto& d = *this->daemons[static_cast<std::size_t>(
        this->world.pick(static_cast<int>(this->daemons.size())))];
    if (d.alive && this->world.time.now() >= d.paused_until) {
      return d;
    }
  }
  return *this->daemons.front();  // No daemon is live at present.
}

void fake_cell::submit(job_spec spec, const std::vector<job_part>& parts) {
  this->teams[spec.id.text] = spec.team;
  job value;
  value.spec = spec;
  value.parts = parts;
  value.tasks.resize(static_cast<std::size_t>(spec.tasks));
  this->live_daemon().writer->append(job_record{value}, this->world.time.now() + millis{5'000},
                                     [this, spec](const result<record_outcome>& r) {
                                       if (r.has_error()) {
                                         return;
                                       }
                                       history_event e;
                                       e.at_ms = this->world.time.now().value;
                                       e.kind = history_kind::job_accepted;
                                       e.task = spec.id.text;
                                       e.number = spec.tasks;
                                       this->recorded.push_back(e);
                                     });
}

void fake_cell::cancel(const job_id& job) {
  history_event e;
  e.at_ms = this->world.time.now().value;
  e.kind = history_kind::job_cancelled;
  e.task = job.text;
  this->recorded.push_back(e);
  this->live_daemon().writer->append(job_cancel{job}, never, nullptr);
}

void fake_cell::patch(const std::string& text) {
  fake_daemon& d = this->live_daemon();
  d.writer->append(config_patch{d.state.config()->version, text, "op", 0}, never, nullptr);
}

void fake_cell::cut_domain(int i) {
  const auto inside = [&](const domain_id& d) { return d == this->domain(i); };
  for (const auto& d : this->daemons) {
    if (inside(d->home)) {
      this->world.disconnect(d->name, log_endpoint);
    }
    for (const auto& [id, w] : this->workers) {
      if (inside(d->home) != inside(w->host.domain)) {
        this->world.disconnect(d->name, id.text);
      }
    }
  }
}

void fake_cell::heal() {
  this->world.heal();
}

int fake_cell::placers_of(const domain_id& domain) const {
  int n = 0;
  for (const auto& d : this->daemons) {
    const bool awake = d->alive && this->world.time.now() >= d->paused_until;
    n += awake && d->placers.at(domain)->status().phase != placer_phase::idle ? 1 : 0;
  }
  return n;
}

void fake_cell::record_ends() {
  for (const job& j : this->live_daemon().state.jobs({}, SIZE_MAX)) {
    for (std::size_t i = 0; i < j.tasks.size(); ++i) {
      if (!terminal(j.tasks[i].phase)) {
        continue;
      }
      history_event e;
      e.at_ms = this->world.time.now().value;
      e.kind = history_kind::task_recorded;
      e.task = task_id{j.spec.id, static_cast<std::int32_t>(i)}.text();
      e.phase = to_string(j.tasks[i].phase);
      this->recorded.push_back(e);
    }
  }
}

}  // namespace monsoonmux
