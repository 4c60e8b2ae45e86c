// The control loop of a daemon. No step blocks: each step is short and reads the
// shared parts through their own locks, so a slow worker or a slow log delays only
// the work that depends on its answer. Heartbeats carry the state that other
// daemons act on: the domains in which the sender places, its log position and the
// slots that it holds. Slot leases and budget requests are the only other
// datagrams; log reads are the only requests between daemons.

#include "daemon/node.h"

#include <algorithm>

namespace monsoonmux {
namespace {

constexpr std::chrono::milliseconds loop_interval{20};
constexpr millis placer_interval{100};
constexpr millis host_fetch_interval{500};
constexpr millis refresh_interval{10'000};

// A record of this age is appended to the log again, well before the log's
// retention (an hour or more) expires.
constexpr millis refresh_age{20 * 60'000};
constexpr std::size_t refresh_batch = 64;
constexpr std::int64_t finished_job_retention_ms = 24 * 3'600'000;
// Daemons of other domains get every tenth heartbeat only, except that the first
// four heartbeats after a start go to all peers.
constexpr std::int64_t remote_heartbeat_divisor = 10;
constexpr std::int64_t initial_broadcast_heartbeats = 4;
constexpr millis idle_period_before_stop{1'000};

}  // namespace

node::node(const settings& options)
    : core(options),
      message_sealer(options.peer_secret),
      candidates(options.daemon, options.domain, {}),
      lease_issuer(this->core) {
  this->link = std::make_unique<peer_link>(
      options.peer, options.daemon, this->core.incarnation, this->message_sealer,
      this->core.logical, [this](const peer_message& m) { this->on_datagram(m); },
      [this](const peer_message& m) { return this->on_request(m); });
  this->core.peer_source.set_link(this->link.get());
  this->link->start();
  this->core.events.emit("daemon_started", {{"domain", options.domain.text}});
  this->control_thread = std::thread([this] { this->run(); });
}

node::~node() {
  this->stopping = true;
  this->control_thread.join();
  this->core.peer_source.set_link(nullptr);
  this->link.reset();
}

void node::run() {
  while (!this->stopping) {
    this->tick(this->core.time.now());
    std::this_thread::sleep_for(loop_interval);
  }
}

void node::tick(instant now) {
  this->core.writer.tick();
  this->core.follower.tick();
  this->apply_config();
  for (const auto& dispatcher : this->core.dispatchers()) {
    dispatcher->dispatch_waiting();
  }
  if (now >= this->next_host_fetch) {
    this->next_host_fetch = now + host_fetch_interval;
    this->fetch_hosts();
  }
  this->apply_hosts();
  if (now >= this->next_placer_tick) {
    this->next_placer_tick = now + placer_interval;
    this->update_candidates(now);
    for (const auto& placer : this->core.placers()) {
      placer->tick();
    }
  }
  if (now >= this->next_heartbeat) {
    this->next_heartbeat = now + this->core.config.heartbeat;
    this->send_heartbeats(now);
    this->lease_issuer.tick(now, [this](const member& to, const slot_lease& lease) {
      if (to.id == this->core.config.daemon) {
        this->core.slots.adopt(lease);
      } else {
        this->send_to(to, lease);
      }
    });
    this->send_budget_requests(now);
    this->publish_metrics();
  }
  if (now >= this->next_refresh) {
    this->next_refresh = now + refresh_interval;
    this->refresh_records(now);
  }
}

void node::apply_config() {
  const config_ptr config = this->core.state.config();
  if (config->version == this->applied_config) {
    return;
  }
  this->applied_config = config->version;
  this->core.events.emit("config_in_force",
                         {{"config_version", std::to_string(config->version.value)}});
  for (const auto& [domain, domain_settings] : config->doc.domains) {
    this->core.placer(domain);
  }
  for (const auto& [name, queue] : config->doc.queues) {
    if (queue.kind != queue_kind::calls) {
      continue;
    }
    const auto dispatcher = this->core.dispatcher(queue.pool);
    for (const auto& [team, team_settings] : config->doc.teams) {
      constexpr std::int64_t no_call_limit = 1'000'000;
      dispatcher->set_share(team, team_settings.share, team_settings.limit.calls < no_call_limit);
    }
  }
  // Refuses the waiting calls of teams that no longer have an API key, unless an
  // open queue charges its calls to the team.
  const auto may_call = [&](const team_id& team) {
    const auto has_key = [&](const auto& key) { return key.second.team == team; };
    const auto is_open = [&](const auto& queue) {
      return queue.second.open && queue.second.open_team == team;
    };
    return std::any_of(config->doc.keys.begin(), config->doc.keys.end(), has_key) ||
           std::any_of(config->doc.queues.begin(), config->doc.queues.end(), is_open);
  };
  for (const auto& dispatcher : this->core.dispatchers()) {
    dispatcher->refuse_unless(may_call);
  }
  this->applied_hosts.reset();
}

void node::fetch_hosts() {
  this->core.host_list.fetch([this](const result<host_snapshot>& answer) {
    if (answer.has_value()) {
      this->core.hosts.set(answer.value());
    }
  });
}

// While the platform is unreachable, the last fetched list stays in use.
void node::apply_hosts() {
  const auto hosts = this->core.hosts.hosts();
  const bool same = this->applied_hosts && (this->applied_hosts == hosts ||
                                            (this->applied_hosts->workers == hosts->workers &&
                                             this->applied_hosts->runners == hosts->runners));
  if (same) {
    return;
  }
  this->applied_hosts = hosts;
  this->core.workers.set_hosts(hosts->workers);
  this->core.runners.set_hosts(hosts->runners);
  for (const auto& dispatcher : this->core.dispatchers()) {
    dispatcher->set_runners(hosts->runners);
  }
  for (const auto& placer : this->core.placers()) {
    const domain_id domain = placer->status().domain;
    std::vector<worker_host> own;
    for (const worker_host& w : hosts->workers) {
      if (w.domain == domain) {
        own.push_back(w);
      }
    }
    placer->set_hosts(own);
  }
}

heartbeat node::make_heartbeat(instant now) const {
  heartbeat out;
  out.domain = this->core.config.domain;
  out.http = this->core.config.http.text();
  out.peer = this->core.config.peer.text();
  out.draining = this->draining;
  out.now = now.value;
  out.next = this->core.follower.next();
  out.version = this->core.state.config()->version;
  out.lease_placer = this->core.slots.newest_placer();
  out.lease_number = this->core.slots.newest_lease();
  out.held = this->core.slots.held();
  for (const auto& placer : this->core.placers()) {
    const placer_status s = placer->status();
    if (s.phase != placer_phase::idle) {
      out.placing.push_back({s.domain, s.number, s.phase == placer_phase::placing, s.free,
                             static_cast<std::int64_t>(s.waiting)});
    }
  }
  return out;
}

void node::send_heartbeats(instant now) {
  const heartbeat own = this->make_heartbeat(now);
  this->domain_peers.clear();
  for (const member& m : this->core.members.all(now)) {
    if (m.last_heartbeat.domain == this->core.config.domain) {
      this->domain_peers.insert(m.last_heartbeat.peer);
    }
  }
  this->core.members.on_heartbeat(this->core.config.daemon, this->core.incarnation, own, now);
  // Daemons of this domain get every heartbeat. A tenth of them is enough for
  // daemons of other domains; a peer whose domain is unknown also gets a tenth until
  // its own heartbeat arrives. The first heartbeats after a start go to all peers.
  const bool to_all = this->heartbeats_sent < initial_broadcast_heartbeats ||
                      this->heartbeats_sent % remote_heartbeat_divisor == 0;
  ++this->heartbeats_sent;
  heartbeat reduced = own;
  reduced.held.clear();
  for (const endpoint& peer : this->core.config.peers) {
    const bool same_domain = this->domain_peers.count(peer.text()) != 0;
    if (!(peer == this->core.config.peer) && (same_domain || to_all)) {
      this->link->send(peer, same_domain ? own : reduced);
    }
  }
}

void node::update_candidates(instant now) {
  const auto alive = this->core.members.alive(now);
  for (const auto& placer : this->core.placers()) {
    placer->set_candidate(!this->draining &&
                          this->candidates.should_compete(placer->status().domain, alive, now));
  }
}

void node::send_budget_requests(instant now) {
  for (const auto& placer : this->core.placers()) {
    for (const budget_request& request : placer->budget_requests()) {
      for (const auto& other : this->core.placers()) {
        other->on_budget_request(request);
      }
      for (const member& m : this->core.members.alive(now)) {
        if (m.id != this->core.config.daemon && !m.last_heartbeat.placing.empty()) {
          this->send_to(m, request);
        }
      }
    }
  }
}

// Appends old records again, so that the state outlives the log's retention. The
// live daemon whose name sorts first does this. If two daemons both take themselves
// for the first, the records are appended twice, which is harmless.
void node::refresh_records(instant now) {
  this->core.state.remove_finished_jobs(this->core.time.wall_ms() - finished_job_retention_ms);
  const auto alive = this->core.members.alive(now);
  const bool is_refresher = !alive.empty() && alive.front().id == this->core.config.daemon;
  if (!is_refresher || !this->core.follower.platform_reachable() ||
      this->core.writer.waiting() > 0) {
    return;
  }
  const instant before = now - refresh_age;
  if (this->core.state.config()->version.value > 0 && this->core.state.config_written() < before) {
    this->core.writer.append(this->core.state.make_refresh(), never, nullptr);
    for (const budget_transfer& t : this->core.state.budget_records()) {
      this->core.writer.append(t, never, nullptr);
    }
    for (const auto& placer : this->core.placers()) {
      const domain_id domain = placer->status().domain;
      for (const worker_id& w : this->core.state.workers(domain)) {
        this->core.writer.append(worker_joined{w, domain}, never, nullptr);
      }
    }
  }
  for (const job& j : this->core.state.jobs_written_before(before, refresh_batch)) {
    this->core.writer.append(job_record{j}, never, nullptr);
  }
}

void node::publish_metrics() {
  daemon_metrics& metrics = this->core.metrics;
  metrics.gauge("config_version", static_cast<double>(this->core.state.config()->version.value));
  metrics.gauge("jobs", static_cast<double>(this->core.state.job_count()));
  metrics.gauge("log_next_offset", static_cast<double>(this->core.follower.next().value));
  metrics.gauge("log_reachable", this->core.follower.platform_reachable() ? 1 : 0);
  metrics.gauge("log_entries_skipped", static_cast<double>(this->core.state.skipped_entries()));
  metrics.gauge("log_appends", static_cast<double>(this->core.writer.appends()));
  metrics.gauge("log_append_bytes", static_cast<double>(this->core.writer.bytes()));
  metrics.gauge("log_bytes", static_cast<double>(this->core.log_clients.bytes()));
  metrics.gauge("worker_bytes", static_cast<double>(this->core.worker_clients.bytes()));
  metrics.gauge("peer_sent_bytes", static_cast<double>(this->link->sent_bytes()));
  metrics.gauge("peer_received_bytes", static_cast<double>(this->link->received_bytes()));
  metrics.gauge("peer_dropped_messages", static_cast<double>(this->link->dropped()));
  call_dispatcher_counts sum;
  for (const auto& dispatcher : this->core.dispatchers()) {
    const call_dispatcher_counts c = dispatcher->counts();
    sum.admitted += c.admitted;
    sum.answered += c.answered;
    sum.refused += c.refused;
    sum.may_have_run += c.may_have_run;
    sum.retries += c.retries;
    sum.waiting += c.waiting;
  }
  metrics.gauge("calls_admitted", static_cast<double>(sum.admitted));
  metrics.gauge("calls_answered", static_cast<double>(sum.answered));
  metrics.gauge("calls_refused", static_cast<double>(sum.refused));
  metrics.gauge("calls_may_have_run", static_cast<double>(sum.may_have_run));
  metrics.gauge("calls_retried", static_cast<double>(sum.retries));
  metrics.gauge("calls_waiting", static_cast<double>(sum.waiting));
}

void node::on_datagram(const peer_message& message) {
  const instant now = this->core.time.now();
  if (const auto* received = std::get_if<heartbeat>(&message.body)) {
    const auto known = this->core.members.find(message.sender);
    this->core.members.on_heartbeat(message.sender, message.incarnation, *received, now);
    this->core.follower.hint(received->next);
    // A daemon that has just started gets an answer at once. Otherwise it would learn
    // of this daemon only from the next heartbeat that goes to all peers.
    const auto address = parse_endpoint(received->peer);
    if ((!known || known->incarnation != message.incarnation) && address.has_value()) {
      this->link->send(address.value(), this->make_heartbeat(now));
    }
  } else if (const auto* lease = std::get_if<slot_lease>(&message.body)) {
    this->core.slots.adopt(*lease);
  } else if (const auto* request = std::get_if<budget_request>(&message.body)) {
    for (const auto& placer : this->core.placers()) {
      placer->on_budget_request(*request);
    }
  }
}

peer_body node::on_request(const peer_message& message) {
  if (const auto* read_request = std::get_if<log_read_request>(&message.body)) {
    // Snapshot numbers must differ between daemons and between restarts too, so the
    // number is derived from the incarnation.
    const std::int64_t number = this->core.incarnation * 1'000 + ++this->snapshots_served;
    return peer_log::serve(*read_request, this->core.follower, this->core.state, number);
  }
  return log_read_answer{};
}

void node::send_to(const member& to, const peer_body& body) {
  const auto address = parse_endpoint(to.last_heartbeat.peer);
  if (address.has_value()) {
    this->link->send(address.value(), body);
  }
}

bool node::drain(const std::function<std::int64_t()>& open_requests) {
  this->draining = true;
  this->core.events.emit("drain_started", {});
  for (const auto& placer : this->core.placers()) {
    placer->set_candidate(false);
    placer->resign();
  }
  const instant limit = this->core.time.now() + this->core.config.drain_timeout;
  instant idle_since = this->core.time.now();
  bool done = false;
  while (!done && this->core.time.now() < limit) {
    std::this_thread::sleep_for(loop_interval);
    const auto dispatchers = this->core.dispatchers();
    const auto placers = this->core.placers();
    const bool is_idle =
        open_requests() == 0 && this->core.writer.idle() &&
        std::all_of(dispatchers.begin(), dispatchers.end(),
                    [](const auto& d) { return d->idle(); }) &&
        std::all_of(placers.begin(), placers.end(), [](const auto& p) { return p->released(); });
    idle_since = is_idle ? idle_since : this->core.time.now();
    done = this->core.time.now() - idle_since >= idle_period_before_stop;
  }
  this->core.slots.drain();
  this->core.events.emit("drain_ended", {{"complete", done ? "true" : "false"}});
  return done;
}

}  // namespace monsoonmux
