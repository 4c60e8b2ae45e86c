#include "cell/cell_daemon.h"

#include <algorithm>

namespace monsoonmux::cell {
namespace {

leadership_options complete(leadership_options o, const daemon_options& d) {
  o.self = d.self;
  o.peer_address = d.address;
  o.peer_port = d.peer_port;
  return o;
}

}  // namespace

cell_daemon::cell_daemon(event_loop& loop, const daemon_ports& given, const clock& now,
                         event_log& out, metric_registry& registry, const daemon_options& chosen)
    : io(loop),
      ports(given),
      time(now),
      events(out),
      metrics(registry),
      options(chosen),
      writer(loop, given.log, now),
      forwarder(loop, given.peers, this->writer, now, chosen.self, *this),
      heartbeat(given.peers, now, chosen.self, chosen.domain, chosen.heartbeats),
      peer_states(loop, given.peers, now, chosen.self, [this] { return this->informed_peers(); }),
      jobs(this->forwarder, this->peer_states, now, out, registry),
      advice(given.advice, now),
      config_follower(loop, given.log, now, out, given.sources.config_topic(), {},
                      {[this](const logged_record& r) { this->config_record(r); }, [] {}, {}}),
      config_barrier(loop, given.log, given.sources.config_topic(), this->config_follower),
      work(loop, given.log, now, out,
           follow_policy(chosen.self.text, chosen.host.relative_capacity(), now.now(),
                         chosen.follow),
           {.wait = chosen.work_read_wait, .min_interval = chosen.work_read_interval},
           {[this](const logged_record& r) { this->work_record(r); },
            [this] {
              this->jobs.attach_table(&this->work.table(),
                                      [this] { return this->work.caught_up(); });
              this->finish_takeover();
            },
            [this] { this->jobs.detach_table(); }}),
      peer_requests(given.peers, out, chosen.self, this->jobs, this->work, this->advice, *this,
                    [this] { return this->sends_heartbeats(); }),
      election(loop, given.log, now, out, complete(chosen.leadership, chosen),
               {[this](epoch at) { this->leadership_gained(at); },
                [this](const std::string& why) { this->leadership_lost(why); },
                [this] { return this->work.loaded() && this->jobs.configured(); },
                [this] { return this->extra_claim_delay(); },
                [this] {
                  return this->leader_role ? this->leader_role->lease_bounds()
                                           : std::vector<runner_lease_bound>();
                },
                [this] {
                  if (this->leader_role) {
                    this->leader_role->lease_bounds_stored();
                  }
                }}),
      hello_timer(loop),
      heartbeat_timer(loop),
      retire_timer(loop) {
  this->jobs.watch_log([this] { return this->log_contact(); });
}

cell_daemon::~cell_daemon() {
  *this->alive = false;
}

void cell_daemon::start() {
  this->config_follower.start();
  this->election.start();
  this->work.update(false);
  this->send_hello();
  this->send_heartbeat();
}

bool cell_daemon::ready() const {
  const instant now = this->time.now();
  const bool informed =
      this->work.loaded() || now - this->last_heartbeat < this->options.ready_after_heartbeat;
  return !this->draining && this->jobs.configured() && informed &&
         now - this->log_contact() < this->options.unready_after;
}

// When the log last answered a read of any followed topic.
instant cell_daemon::log_contact() const {
  return std::max({this->config_follower.last_contact(), this->election.last_contact(),
                   this->work.last_contact()});
}

millis cell_daemon::extra_claim_delay() const {
  if (this->work.chosen()) {
    return millis{0};
  }
  const double weakness = 1 - this->options.host.relative_capacity();
  return millis{static_cast<std::int64_t>(
      weakness * static_cast<double>(this->options.weak_host_claim_delay.value))};
}

void cell_daemon::drain(std::function<void()> on_resigned) {
  this->draining = true;
  this->election.resign(std::move(on_resigned));
}

void cell_daemon::config_record(const logged_record& record) {
  if (record.record.key != this->ports.sources.config_key() || record.record.value.empty()) {
    return;
  }
  auto config = this->ports.sources.read_config(record.record.value);
  if (config.has_error()) {
    this->events.write("config_unreadable",
                       {{"offset", record.offset}, {"why", config.error().detail}});
    return;
  }
  if (this->jobs.configured() && config.value().version <= this->jobs.config().version) {
    return;
  }
  this->events.write("config_in_force", {{"version", config.value().version.value},
                                         {"queues", config.value().queues.size()},
                                         {"tenants", config.value().teams.size()}});
  this->jobs.configure(std::move(config.value()));
  if (this->leader_role && this->leader_role->active()) {
    this->leader_role->configure(this->jobs.config());
  }
  this->finish_takeover();
}

void cell_daemon::work_record(const logged_record& record) {
  const auto key = parse_key(record.record.key);
  const job_record* const before = key ? this->work.table().find(key->job) : nullptr;
  const std::optional<job_phase> was =
      before != nullptr && before->submission ? std::optional(before->phase()) : std::nullopt;
  const job_table_change change = this->work.table().apply(record.record, record.offset);
  if (change == job_table_change::unreadable) {
    this->events.write("record_unreadable",
                       {{"offset", record.offset}, {"key", record.record.key}});
    return;
  }
  if (this->leads()) {
    this->announce_phase(key->job, was);
    if (change == job_table_change::submitted) {
      this->leader_role->submitted(*this->work.table().find(key->job));
    } else if (change == job_table_change::cancelled) {
      this->leader_role->cancelled(key->job);
    }
  }
  if (this->fenced_at >= 0 && record.offset + 1 >= this->fenced_at) {
    // Posted, since the follower that calls this has not advanced its position yet.
    this->io.post([this, a = this->alive] {
      if (*a) {
        this->finish_takeover();
      }
    });
  }
}

void cell_daemon::announce_phase(const job_id& job, std::optional<job_phase> was) {
  const job_record* const now = this->work.table().find(job);
  if (now != nullptr && now->submission && now->phase() != was) {
    this->heartbeat.add_phase_change(job, now->phase());
  }
}

void cell_daemon::leadership_gained(epoch at) {
  this->events.write("owner_gained",
                     {{"epoch", at.value}, {"strength", this->options.host.relative_capacity()}});
  this->metrics.count("owner_gained");
  this->own_epoch = at;
  this->heartbeat.start_leadership(this->standbys);
  this->fenced_at = -1;
  this->work.throttle(this->options.leader_work_read_interval);
  this->begin_leadership();
}

void cell_daemon::begin_leadership() {
  const leader_services services{this->io,           this->ports.log,   this->ports.runners,
                                 this->ports.dialer, this->ports.peers, this->advice,
                                 this->time,         this->events,      this->metrics};
  this->leader_role = std::make_unique<leader>(
      services, this->options.self, this->own_epoch, this->election.inherited(),
      this->options.leader,
      leader_handlers{[this] { return this->election.may_command(); },
                      [this] { return this->election.may_start(); },
                      [this] { return this->election.leases_until(); },
                      [this](const std::string& why) {
                        this->io.post([this, why, a = this->alive] {
                          if (*a) {
                            this->election.lose(why);
                          }
                        });
                      },
                      [this] {
                        return this->runner_follower ? this->runner_follower->followed()
                                                     : followed_time{};
                      },
                      [this](std::function<void()> on_current) {
                        this->config_barrier.pass(std::move(on_current));
                      },
                      [this](const logged_record& record) { this->work_record(record); }});
  // Peers that the previous leader knew can be used for advice queries and as agents at
  // once.
  for (const known_peer& peer : this->heartbeat.known_peers()) {
    this->leader_role->on_hello(peer.daemon, {peer.host, peer.port},
                                {0, peer.domain, peer.relative_capacity});
  }
  this->leader_role->fence([this](std::int64_t end) {
    this->fenced_at = end;
    this->work.read_now();
    this->finish_takeover();
  });
}

// Continues the takeover once the log is read up to the fence and there is a
// configuration.
void cell_daemon::finish_takeover() {
  if (!this->leader_role || this->leader_role->active() || this->fenced_at < 0 ||
      !this->jobs.configured() || !this->work.loaded() || this->work.position() < this->fenced_at) {
    return;
  }
  this->leader_role->take_over(this->work.table(), this->jobs.config());
  this->runners_listed.clear();
  this->runners_known.clear();
  this->runners_unreadable.clear();
  follower_options throttle;
  throttle.min_interval = this->options.discovery_interval;
  this->runner_follower = std::make_unique<log_follower>(
      this->io, this->ports.log, this->time, this->events, this->ports.sources.runner_topic(),
      throttle,
      log_follower::handlers{[this](const logged_record& r) { this->runner_record(r); },
                             [this] { this->runners_loaded(); },
                             [this] { this->runners_listed.clear(); }});
  this->runner_follower->start();
}

void cell_daemon::runner_record(const logged_record& record) {
  if (!this->leader_role) {
    return;
  }
  const std::string& id = record.record.key;
  if (record.record.value.empty()) {
    this->runners_unreadable.erase(id);
    this->runners_known.erase(id);
    this->leader_role->runner_unlisted(id);
    return;
  }
  const auto entry = this->ports.sources.read_runner(id, record.record.value);
  if (entry.has_error()) {
    this->runner_unreadable(id, entry.error().detail);
    return;
  }
  this->runners_unreadable.erase(id);
  this->runners_listed.insert(id);
  this->runners_known.insert(id);
  this->leader_role->runner_listed(entry.value());
}

// Such an entry names no runner to use, but it does not tell that a known runner has left.
// Logged once, since a writer may repeat its entry for ever.
void cell_daemon::runner_unreadable(const std::string& id, const std::string& why) {
  this->metrics.count("runner_entries_unreadable");
  if (this->runners_unreadable.insert(id).second) {
    this->events.write("runner_entry_unreadable", {{"runner", id}, {"why", why}});
  }
  this->runners_listed.insert(id);
  this->leader_role->runner_entry_unreadable(id);
}

void cell_daemon::runners_loaded() {
  if (!this->leader_role) {
    return;
  }
  std::vector<std::string> removed;
  for (const std::string& id : this->runners_known) {
    if (!this->runners_listed.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const std::string& id : removed) {
    this->runners_known.erase(id);
    this->leader_role->runner_unlisted(id);
  }
}

void cell_daemon::leadership_lost(const std::string& why) {
  this->events.write("owner_lost", {{"epoch", this->own_epoch.value}, {"why", why}});
  this->metrics.count("owner_lost");
  this->fenced_at = -1;
  this->peer_requests.leadership_lost();
  this->work.throttle(this->options.work_read_interval);
  // Destroyed later by the event loop, since either object may be the caller of this.
  this->retired = std::move(this->leader_role);
  this->retired_follower = std::move(this->runner_follower);
  this->retire_timer.start(millis{0}, [this] {
    this->retired.reset();
    this->retired_follower.reset();
  });
}

void cell_daemon::send_hello() {
  this->hello_timer.start(this->options.hello_interval, [this] { this->send_hello(); });
  const std::optional<peer_address> leader = this->leader_address();
  if (leader && !this->election.leads()) {
    this->ports.peers.send(
        {this->options.self.text,
         hello_message{this->advice.backlog().value, this->options.domain,
                       this->options.host.relative_capacity(), this->time.wall_ms()}},
        *leader);
  }
}

// A leader that sends heartbeats is the newest one, even if this daemon cannot read the
// log.
std::optional<peer_address> cell_daemon::leader_address() const {
  if (this->election.has_heartbeats()) {
    return this->heartbeat_source;
  }
  const auto& newest = this->election.newest();
  if (!newest || newest->resigned) {
    return std::nullopt;
  }
  return peer_address{newest->peer_address, newest->peer_port};
}

// True while peers may rely on this leader: it is active and its records get into the log.
// A leader that is cut off from the log sends no heartbeats, so that a successor claims.
bool cell_daemon::sends_heartbeats() const {
  return this->leads() && this->leader_role->can_write() &&
         this->election.renewed_within(this->options.heartbeat_renewal_age);
}

void cell_daemon::send_heartbeat() {
  this->heartbeat_timer.start(this->heartbeat.settings().interval,
                              [this] { this->send_heartbeat(); });
  if (this->sends_heartbeats()) {
    this->heartbeat.send(this->own_epoch);
  }
  this->work.update(this->election.leads());
  this->log_leader_contact();
}

void cell_daemon::log_leader_contact() {
  const bool reachable = this->forwarder.can_forward();
  if (reachable == this->leader_reachable) {
    return;
  }
  this->leader_reachable = reachable;
  const std::string leader = this->heartbeat_source ? this->heartbeat_source->host : std::string();
  this->events.write(reachable ? "owner_heard" : "owner_silent",
                     {{"owner", leader}, {"epoch", this->forwarder.latest_epoch().value}});
}

void cell_daemon::receive_heartbeat(const leader_heartbeat_message& heartbeat,
                                    const peer_address& from) {
  const auto& newest = this->election.newest();
  if (newest && heartbeat.leader_epoch < newest->leader_epoch) {
    return;  // From a previous leader.
  }
  this->election.heartbeat(heartbeat.leader_epoch);
  this->forwarder.heartbeat(heartbeat.leader_epoch, from);
  this->heartbeat_source = from;
  this->last_heartbeat = this->time.now();
  this->update_standbys(heartbeat);
  for (const known_peer& peer : heartbeat.peers) {
    this->heartbeat.on_peer_listed(peer);
  }
  for (const job_phase_change& change : heartbeat.phases) {
    this->work.table().set_leader_phase(change.job, change.phase);
  }
}

void cell_daemon::update_standbys(const leader_heartbeat_message& heartbeat) {
  if (heartbeat.standbys_unchanged) {
    this->work.on_unchanged_leader_heartbeat();
    return;
  }
  if (!heartbeat.standbys) {
    this->work.on_leader_heartbeat(std::nullopt);
    return;
  }
  const auto& names = *heartbeat.standbys;
  this->work.on_leader_heartbeat(std::find(names.begin(), names.end(), this->options.self.text) !=
                                 names.end());
  this->standbys = heartbeat.standby_addresses;
}

// The leader first, since it knows of changes first, then its standbys.
std::vector<peer_address> cell_daemon::informed_peers() const {
  std::vector<peer_address> out;
  if (const std::optional<peer_address> leader = this->leader_address()) {
    out.push_back(*leader);
  } else if (this->heartbeat_source) {
    out.push_back(*this->heartbeat_source);
  }
  out.insert(out.end(), this->standbys.begin(), this->standbys.end());
  return out;
}

void cell_daemon::on_peer_message(const peer_message& message, const peer_address& from) {
  if (const auto* const request = std::get_if<advice_request_message>(&message.body)) {
    this->peer_requests.advise(*request, from);
  } else if (const auto* const leader_heartbeat =
                 std::get_if<leader_heartbeat_message>(&message.body)) {
    this->receive_heartbeat(*leader_heartbeat, from);
  } else if (std::holds_alternative<hello_message>(message.body)) {
    const auto& hello = std::get<hello_message>(message.body);
    this->heartbeat.on_hello(message.sender, from, hello);
    if (this->leader_role) {
      this->leader_role->on_hello(message.sender, from, hello);
    }
  } else if (const auto* const store_request = std::get_if<store_request_message>(&message.body)) {
    this->peer_requests.store(message.sender, *store_request, from);
  } else if (const auto* const stored = std::get_if<store_answer_message>(&message.body)) {
    this->forwarder.answered(*stored);
  } else if (const auto* const phase_request = std::get_if<phase_request_message>(&message.body)) {
    this->peer_requests.answer(*phase_request, from);
  } else if (const auto* const phase_answer = std::get_if<phase_answer_message>(&message.body)) {
    this->peer_states.answered(*phase_answer);
  } else if (const auto* const pending_request =
                 std::get_if<pending_request_message>(&message.body)) {
    this->peer_requests.answer(*pending_request, from);
  } else if (const auto* const pending = std::get_if<pending_answer_message>(&message.body)) {
    this->peer_states.answered(*pending);
  } else if (const auto* const answer = std::get_if<advice_answer_message>(&message.body)) {
    if (this->leader_role) {
      this->leader_role->advice_answered(*answer);
    }
  }
}

void cell_daemon::store(keyed_record record, std::function<void()> on_stored) {
  this->leader_role->store(std::move(record), std::move(on_stored));
}

}  // namespace monsoonmux::cell
