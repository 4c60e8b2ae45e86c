#include "cell/cell_daemon.h"

#include <algorithm>

namespace monsoonmux::cell {
namespace {

ownership_options complete(ownership_options o, const daemon_options& d) {
  o.self = d.self;
  o.peer_address = d.address;
  o.peer_port = d.peer_port;
  return o;
}

}  // namespace

cell_daemon::cell_daemon(event_loop& loop, const daemon_ports& given, const clock& now,
                         event_log& out, metric_registry& counted, const daemon_options& chosen)
    : io(loop),
      ports(given),
      time(now),
      events(out),
      metrics(counted),
      options(chosen),
      writer(loop, given.log, now),
      relay(loop, given.peers, this->writer, now, chosen.self, *this),
      beat(given.peers, now, chosen.self, chosen.domain, chosen.beats),
      elsewhere(loop, given.peers, now, chosen.self, [this] { return this->knowing_peers(); }),
      front(this->relay, this->elsewhere, now, out, counted),
      advice(given.advice, now),
      config_feed(loop, given.log, now, out, given.sources.config_topic(), {},
                  {[this](const logged_record& r) { this->config_record(r); }, [] {}, {}}),
      work(loop, given.log, now, out,
           follow_policy(chosen.self.text, chosen.host.relative_capacity(), now.now(),
                         chosen.follow),
           {.wait = chosen.book_wait, .min_interval = chosen.book_interval},
           {[this](const logged_record& r) { this->work_record(r); },
            [this] {
              this->front.feed(&this->work.book(), [this] { return this->work.caught_up(); });
              this->finish_takeover();
            },
            [this] { this->front.close_book(); }}),
      peer_requests(given.peers, out, chosen.self, this->front, this->work, this->advice, *this,
                    [this] { return this->beats(); }),
      claim(loop, given.log, now, out, complete(chosen.ownership, chosen),
            {[this](epoch at) { this->gained(at); },
             [this](const std::string& why) { this->lost(why); },
             [this] { return this->work.loaded() && this->front.configured(); },
             [this] { return this->claim_handicap(); }}),
      hello(loop),
      beat_timer(loop),
      retire(loop) {
  this->front.watch_log([this] { return this->log_contact(); });
}

cell_daemon::~cell_daemon() {
  *this->alive = false;
}

void cell_daemon::start() {
  this->config_feed.start();
  this->claim.start();
  this->work.update(false);
  this->say_hello();
  this->send_beat();
}

bool cell_daemon::ready() const {
  const instant now = this->time.now();
  const bool knows = this->work.loaded() || now - this->last_beat < this->options.ready_after_beat;
  return !this->draining && this->front.configured() && knows &&
         now - this->log_contact() < this->options.unready_after;
}

// The newest answer of the log to any of the topics that are followed.
instant cell_daemon::log_contact() const {
  return std::max(
      {this->config_feed.last_contact(), this->claim.last_contact(), this->work.last_contact()});
}

millis cell_daemon::claim_handicap() const {
  if (this->work.chosen()) {
    return millis{0};
  }
  const double weakness = 1 - this->options.host.relative_capacity();
  return millis{static_cast<std::int64_t>(
      weakness * static_cast<double>(this->options.weakness_handicap.value))};
}

void cell_daemon::drain(std::function<void()> on_resigned) {
  this->draining = true;
  this->claim.resign(std::move(on_resigned));
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
  if (this->front.configured() && config.value().version <= this->front.config().version) {
    return;
  }
  this->events.write("config_in_force", {{"version", config.value().version.value},
                                         {"queues", config.value().queues.size()},
                                         {"tenants", config.value().teams.size()}});
  this->front.configure(std::move(config.value()));
  if (this->orders && this->orders->active()) {
    this->orders->configure(this->front.config());
  }
  this->finish_takeover();
}

void cell_daemon::work_record(const logged_record& record) {
  const auto key = parse_key(record.record.key);
  const job_record* const before = key ? this->work.book().find(key->job) : nullptr;
  const std::optional<job_phase> was =
      before != nullptr && before->submission ? std::optional(before->phase()) : std::nullopt;
  const job_table_change change = this->work.book().apply(record.record, record.offset);
  if (change == job_table_change::unreadable) {
    this->events.write("record_unreadable",
                       {{"offset", record.offset}, {"key", record.record.key}});
    return;
  }
  if (this->owns()) {
    this->tell_peers(key->job, was);
    if (change == job_table_change::submitted) {
      this->orders->submitted(*this->work.book().find(key->job));
    } else if (change == job_table_change::cancelled) {
      this->orders->cancelled(key->job);
    }
  }
  if (this->fenced_at >= 0 && record.offset + 1 >= this->fenced_at) {
    // Not from inside the follower, which has not moved its position yet.
    this->io.post([this, a = this->alive] {
      if (*a) {
        this->finish_takeover();
      }
    });
  }
}

void cell_daemon::tell_peers(const job_id& job, std::optional<job_phase> was) {
  const job_record* const now = this->work.book().find(job);
  if (now != nullptr && now->submission && now->phase() != was) {
    this->beat.note(job, now->phase());
  }
}

void cell_daemon::gained(epoch at) {
  this->events.write("owner_gained",
                     {{"epoch", at.value}, {"strength", this->options.host.relative_capacity()}});
  this->metrics.count("owner_gained");
  this->owned = at;
  this->beat.begin();
  this->fenced_at = -1;
  this->work.pace(this->options.owner_book_interval);
  this->begin_ownership();
}

void cell_daemon::begin_ownership() {
  const owner_services services{this->io,           this->ports.log,   this->ports.runners,
                                this->ports.dialer, this->ports.peers, this->advice,
                                this->time,         this->events,      this->metrics};
  this->orders = std::make_unique<owner>(
      services, this->options.self, this->owned, this->claim.former_orders_until(),
      this->options.owner,
      owner_handlers{[this] { return this->claim.may_order(); },
                     [this](const std::string& why) {
                       this->io.post([this, why, a = this->alive] {
                         if (*a) {
                           this->claim.lose(why);
                         }
                       });
                     },
                     [this](const logged_record& record) { this->work_record(record); }});
  // Those that the former owner knew can ask for advice and carry orders at once.
  for (const known_peer& peer : this->beat.known()) {
    this->orders->heard(peer.daemon, {peer.host, peer.port},
                        {0, peer.domain, peer.relative_capacity});
  }
  this->orders->fence([this](std::int64_t end) {
    this->fenced_at = end;
    this->work.hurry();
    this->finish_takeover();
  });
}

// Goes on with a takeover as soon as the log was read up to the fence and there is
// a configuration.
void cell_daemon::finish_takeover() {
  if (!this->orders || this->orders->active() || this->fenced_at < 0 || !this->front.configured() ||
      !this->work.loaded() || this->work.position() < this->fenced_at) {
    return;
  }
  this->orders->take_over(this->work.book(), this->front.config());
  this->runners_seen.clear();
  this->runners_known.clear();
  follower_options pace;
  pace.min_interval = this->options.discovery_interval;
  this->runner_feed = std::make_unique<log_follower>(
      this->io, this->ports.log, this->time, this->events, this->ports.sources.runner_topic(), pace,
      log_follower::handlers{[this](const logged_record& r) { this->runner_record(r); },
                             [this] { this->runners_loaded(); },
                             [this] { this->runners_seen.clear(); }});
  this->runner_feed->start();
}

void cell_daemon::runner_record(const logged_record& record) {
  if (!this->orders) {
    return;
  }
  const std::string& id = record.record.key;
  if (record.record.value.empty()) {
    this->runners_known.erase(id);
    this->orders->runner_unlisted(id);
    return;
  }
  const auto entry = this->ports.sources.read_runner(id, record.record.value);
  if (entry.has_error()) {
    this->events.write("runner_entry_unreadable", {{"runner", id}, {"why", entry.error().detail}});
    return;
  }
  this->runners_seen.insert(id);
  this->runners_known.insert(id);
  this->orders->runner_listed(entry.value());
}

void cell_daemon::runners_loaded() {
  if (!this->orders) {
    return;
  }
  std::vector<std::string> gone;
  for (const std::string& id : this->runners_known) {
    if (!this->runners_seen.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    this->runners_known.erase(id);
    this->orders->runner_unlisted(id);
  }
}

void cell_daemon::lost(const std::string& why) {
  this->events.write("owner_lost", {{"epoch", this->owned.value}, {"why", why}});
  this->metrics.count("owner_lost");
  this->fenced_at = -1;
  this->peer_requests.owner_lost();
  this->work.pace(this->options.book_interval);
  // Destroyed from the loop: this may be called from inside of them.
  this->retired = std::move(this->orders);
  this->retired_feed = std::move(this->runner_feed);
  this->retire.start(millis{0}, [this] {
    this->retired.reset();
    this->retired_feed.reset();
  });
}

void cell_daemon::say_hello() {
  this->hello.start(this->options.hello_every, [this] { this->say_hello(); });
  const std::optional<peer_address> owner = this->owner_address();
  if (owner && !this->claim.owner()) {
    this->ports.peers.send(
        {this->options.self.text,
         hello_message{this->advice.backlog().value, this->options.domain,
                       this->options.host.relative_capacity(), this->time.wall_ms()}},
        *owner);
  }
}

// The owner that beats is the newest one, also where the log cannot be read.
std::optional<peer_address> cell_daemon::owner_address() const {
  if (this->claim.hears_beats()) {
    return this->beat_source;
  }
  const auto& newest = this->claim.newest();
  if (!newest || newest->resigned) {
    return std::nullopt;
  }
  return peer_address{newest->peer_address, newest->peer_port};
}

// True while peers may count on this owner: it gives orders and the log takes what it
// writes. An owner that is cut off from the log falls silent, and is followed.
bool cell_daemon::beats() const {
  return this->owns() && this->orders->writes() &&
         this->claim.renewed_within(this->options.beat_renewal_age);
}

void cell_daemon::send_beat() {
  this->beat_timer.start(this->beat.settings().every, [this] { this->send_beat(); });
  if (this->beats()) {
    this->beat.send(this->owned);
  }
  this->work.update(this->claim.owner());
  this->note_owner_contact();
}

void cell_daemon::note_owner_contact() {
  const bool hears = this->relay.can_relay();
  if (hears == this->hears_owner) {
    return;
  }
  this->hears_owner = hears;
  const std::string owner = this->beat_source ? this->beat_source->host : std::string();
  this->events.write(hears ? "owner_heard" : "owner_silent",
                     {{"owner", owner}, {"epoch", this->relay.heard_epoch().value}});
}

void cell_daemon::hear_beat(const owner_beat_message& heard, const peer_address& from) {
  const auto& newest = this->claim.newest();
  if (newest && heard.leader_epoch < newest->leader_epoch) {
    return;  // Of a former owner.
  }
  this->claim.beat(heard.leader_epoch);
  this->relay.beat(heard.leader_epoch, from);
  this->beat_source = from;
  this->last_beat = this->time.now();
  this->note_standbys(heard);
  for (const known_peer& peer : heard.peers) {
    this->beat.heard_of(peer);
  }
  for (const job_phase_change& change : heard.phases) {
    this->work.book().set_leader_phase(change.job, change.phase);
  }
}

void cell_daemon::note_standbys(const owner_beat_message& heard) {
  if (heard.choice_stands) {
    this->work.on_unchanged_leader_heartbeat();
    return;
  }
  if (!heard.standbys) {
    this->work.on_leader_heartbeat(std::nullopt);
    return;
  }
  const auto& names = *heard.standbys;
  this->work.on_leader_heartbeat(std::find(names.begin(), names.end(), this->options.self.text) !=
                                 names.end());
  this->standbys = heard.standby_addresses;
}

// The owner knows first; then those that follow it.
std::vector<peer_address> cell_daemon::knowing_peers() const {
  std::vector<peer_address> out;
  if (const std::optional<peer_address> owner = this->owner_address()) {
    out.push_back(*owner);
  } else if (this->beat_source) {
    out.push_back(*this->beat_source);
  }
  out.insert(out.end(), this->standbys.begin(), this->standbys.end());
  return out;
}

void cell_daemon::heard(const peer_message& message, const peer_address& from) {
  if (const auto* const request = std::get_if<advice_request_message>(&message.body)) {
    this->peer_requests.advise(*request, from);
  } else if (const auto* const beat_heard = std::get_if<owner_beat_message>(&message.body)) {
    this->hear_beat(*beat_heard, from);
  } else if (std::holds_alternative<hello_message>(message.body)) {
    const auto& hello = std::get<hello_message>(message.body);
    this->beat.heard(message.sender, from, hello);
    if (this->orders) {
      this->orders->heard(message.sender, from, hello);
    }
  } else if (const auto* const wanted = std::get_if<store_request_message>(&message.body)) {
    this->peer_requests.store(message.sender, *wanted, from);
  } else if (const auto* const stored = std::get_if<store_answer_message>(&message.body)) {
    this->relay.answered(*stored);
  } else if (const auto* const asked = std::get_if<phase_request_message>(&message.body)) {
    this->peer_requests.answer(*asked, from);
  } else if (const auto* const told = std::get_if<phase_answer_message>(&message.body)) {
    this->elsewhere.answered(*told);
  } else if (const auto* const asked_for = std::get_if<pending_request_message>(&message.body)) {
    this->peer_requests.answer(*asked_for, from);
  } else if (const auto* const pending = std::get_if<pending_answer_message>(&message.body)) {
    this->elsewhere.answered(*pending);
  } else if (const auto* const answer = std::get_if<advice_answer_message>(&message.body)) {
    if (this->orders) {
      this->orders->advice_answered(*answer);
    }
  }
}

void cell_daemon::store(keyed_record record, std::function<void()> on_stored) {
  this->orders->store(std::move(record), std::move(on_stored));
}

}  // namespace monsoonmux::cell
