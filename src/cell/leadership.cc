#include "cell/leadership.h"

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <utility>

namespace monsoonmux::cell {
namespace {

constexpr millis tick_interval{50};
// After a resignation the successor claims without waiting for a time-out.
constexpr millis resigned_claim_delay{0};
// The first claim in a cell waits until the other daemons have had time to start.
constexpr millis first_claim_delay{100};

std::uint64_t random_nonce() {
  std::random_device source;
  return (static_cast<std::uint64_t>(source()) << 32U) | source();
}

}  // namespace

leadership::leadership(event_loop& io, shared_log& target, const clock& now, event_log& out,
                       const leadership_options& given, handlers callbacks)
    : log(target),
      time(now),
      events(out),
      options(given),
      on(std::move(callbacks)),
      nonce(random_nonce()),
      follower(io, target, now, out, leader_topic, {},
               {[this](const logged_record& record) { this->on_record(record); },
                [this] { this->last_seen_in_log = this->time.now(); },
                {}}),
      ticker(io),
      reach({given.lease_horizon, given.latest_execution, given.lease_horizon_without_bounds},
            now.now()) {}

leadership::~leadership() {
  *this->alive = false;
}

void leadership::start() {
  this->last_seen_in_log = this->time.now();
  this->follower.start();
  this->tick();
}

bool leadership::may_command() const {
  return this->is_leader && this->time.now() - this->renewed < this->options.command_window;
}

void leadership::on_record(const logged_record& record) {
  if (record.record.key == lease_bounds_key) {
    if (const auto bounds = decode_lease_bounds(record.record.value)) {
      this->reach.add(record.offset, *bounds, this->time.now());
    } else {
      this->events.write("lease_bounds_unreadable", {{"offset", record.offset}});
    }
    return;
  }
  if (record.record.key != leader_key) {
    return;
  }
  const auto received = decode_claim(record.record.value);
  if (!received) {
    this->events.write("claim_unreadable", {{"offset", record.offset}});
    return;
  }
  if (record.offset + 1 < this->end) {
    return;
  }
  this->end = record.offset + 1;
  const bool is_new_leader = !this->claim || this->claim->leader_epoch < received->leader_epoch;
  const bool fresh = is_new_leader || this->reads_throttled || this->fresh_after.has_value();
  this->claim = received;
  const inherited_leases earlier = this->reach.leases();
  this->reach.add(record.offset, *received, this->time.now());
  this->last_seen_in_log =
      fresh ? this->time.now() : std::max(this->last_seen_in_log, this->last_heartbeat);
  const bool is_own = received->nonce == this->nonce;
  if (this->is_unanswered_claim(record, *received) && !this->stopping) {
    // The claim was stored, but the answer to its append was lost. Which of several attempts
    // was stored is unknown, and others may have read the first one at once.
    this->renewed = std::exchange(this->unanswered, {})->sent;
    this->renewal_sent = this->renewed;
    this->previous_leases = earlier;
    ++this->attempts;  // The answer that is missing decides nothing any more.
    this->in_flight = false;
    this->gain(received->leader_epoch);
  } else if (!is_own && this->is_leader) {
    this->lose("leadership claimed by " + received->leader.text);
  }
}

bool leadership::is_unanswered_claim(const logged_record& record,
                                     const leader_claim& received) const {
  return !this->is_leader && received.nonce == this->nonce && this->unanswered &&
         this->unanswered->offset + 1 == record.offset;  // The bounds are before the claim.
}

// Renews at once, since until then successors count with no lease of this daemon.
void leadership::gain(epoch at) {
  this->is_leader = true;
  this->grants_leases = false;
  this->on.on_gained(at);
  if (this->is_leader && !this->stopping) {
    this->renew();
  }
}

void leadership::lose(const std::string& why) {
  if (this->is_leader) {
    this->is_leader = false;
    this->grants_leases = false;
    this->last_seen_in_log = this->time.now();
    this->on.on_lost(why);
    if (this->on_successor) {
      std::exchange(this->on_successor, {})();
    }
  }
}

void leadership::tick() {
  this->ticker.start(tick_interval, [this] { this->tick(); });
  const instant now = this->time.now();
  this->throttle_reads();
  if (this->follower.failed_reads() > 0 || !this->follower.loaded()) {
    // The lack of renewals counts only while the log can be read.
    this->last_seen_in_log = now;
  }
  if (this->in_flight || !this->follower.loaded()) {
    return;
  }
  if (this->stopping) {
    if (this->is_leader && !this->claim->resigned) {
      this->append_resignation();
    }
    return;
  }
  if (this->is_leader) {
    if (now - this->renewal_sent >= this->options.renew_interval) {
      this->renew();
    }
    return;
  }
  if (now - this->last_alive() >= this->claim_delay() && this->on.may_claim()) {
    this->claim_next();
  }
}

// Reads the claims less often while heartbeats arrive, since these carry the same
// information sooner. The first read after they ceased may return renewals from before,
// which do not show that the leader is still alive.
void leadership::throttle_reads() {
  const instant now = this->time.now();
  const bool should_throttle = this->has_heartbeats() && !this->is_leader;
  if (!should_throttle && !this->fresh_after &&
      this->follower.last_contact() > this->throttle_changed_at) {
    this->fresh_after = now;
  }
  if (should_throttle != this->reads_throttled) {
    this->reads_throttled = should_throttle;
    this->throttle_changed_at = now;
    this->fresh_after.reset();
    this->follower.throttle(should_throttle ? this->options.read_interval : millis{0});
  }
}

// The last time at which the leader is known to have been alive.
instant leadership::last_alive() const {
  return this->has_heartbeats() ? this->last_seen_in_log
                                : std::max(this->last_seen_in_log, this->last_heartbeat);
}

millis leadership::claim_delay() const {
  const std::string seed =
      this->options.self.text + std::to_string(this->claim ? this->claim->leader_epoch.value : 0);
  const millis spread{
      static_cast<std::int64_t>(XXH64(seed.data(), seed.size(), 0) %
                                static_cast<std::uint64_t>(this->options.stagger.value))};
  const millis turn = spread + this->on.extra_claim_delay();
  if (!this->claim) {
    return first_claim_delay + turn;
  }
  if (this->claim->resigned) {
    return resigned_claim_delay + turn;
  }
  return (this->has_heartbeats() ? this->options.claim_timeout_with_heartbeats
                                 : this->options.claim_timeout) +
         turn;
}

void leadership::heartbeat(epoch of_epoch) {
  if (this->claim && of_epoch >= this->claim->leader_epoch) {
    this->last_heartbeat = this->time.now();
  }
}

void leadership::renew() {
  const leader_claim next = *this->claim;
  const instant now = this->time.now();
  this->renewal_sent = now;
  this->append_claim(next, this->own_bounds(), [this, now](const append_answer& answer) {
    if (answer.status == append_status::done) {
      this->note_renewal(now, answer);
    }
    // After a failure, the topic shows who leads now, and the next tick retries.
  });
}

void leadership::claim_next() {
  leader_claim next;
  next.leader_epoch = epoch{this->claim ? this->claim->leader_epoch.value + 1 : 1};
  next.leader = this->options.self;
  next.nonce = this->nonce;
  next.peer_address = this->options.peer_address;
  next.peer_port = this->options.peer_port;
  this->renewal_sent = this->time.now();
  if (!this->unanswered || this->unanswered->offset != this->end) {
    this->unanswered = claim_attempt{this->end, this->renewal_sent};
  }
  const inherited_leases previous = this->reach.leases();
  this->append_claim(
      next, this->inherited_bounds(this->renewal_sent),
      [this, next, previous, sent = this->renewal_sent](const append_answer& answer) {
        // Without an unanswered claim this one was found in the log before its answer came.
        const bool decided = !this->unanswered || this->end > answer.end;
        if (answer.status != append_status::done || decided) {
          return;
        }
        this->claim = next;
        this->end = std::max(this->end, answer.end);
        this->unanswered.reset();
        this->renewed = sent;
        // The conditional append succeeded, so no renewal followed the last claim that had
        // been read when it was sent.
        this->previous_leases = previous;
        this->gain(next.leader_epoch);
      });
}

void leadership::note_renewal(instant sent, const append_answer& answer) {
  this->renewed = sent;
  this->end = std::max(this->end, answer.end);
  this->grants_leases = this->is_leader;
  if (this->is_leader) {
    this->on.on_bounds_stored();
  }
}

// The clock is read last: what is left of a lease must not count from a time before it was
// reckoned.
lease_bounds leadership::own_bounds() const {
  lease_bounds out;
  out.leader_epoch = this->claim->leader_epoch;
  out.nonce = this->nonce;
  out.runners = this->on.lease_bounds();
  out.sent_ms = this->time.now().value;
  return out;
}

lease_bounds leadership::inherited_bounds(instant now) const {
  const inherited_leases& leases = this->reach.leases();
  lease_bounds out;
  out.leader_epoch = epoch{this->claim ? this->claim->leader_epoch.value + 1 : 1};
  out.nonce = this->nonce;
  out.sent_ms = now.value;
  const auto left = [now](instant until) { return std::max(millis{0}, until - now); };
  out.longest = left(leases.until.in_time);
  out.longest_if_late = left(leases.until.if_late);
  for (const auto& [runner, until] : leases.by_runner) {
    out.runners.push_back({runner, left(until.in_time), left(until.if_late)});
  }
  return out;
}

void leadership::append_claim(const leader_claim& next, const lease_bounds& bounds,
                              std::function<void(const append_answer&)> on_answer) {
  append_request request;
  request.topic = leader_topic;
  request.records.push_back({lease_bounds_key, encode(bounds)});
  request.records.push_back({leader_key, encode(next)});
  request.expected_end = this->end;
  this->in_flight = true;
  this->log.append(std::move(request),
                   [this, next, bounds, attempt = ++this->attempts,
                    on_answer = std::move(on_answer), a = this->alive](append_answer answer) {
                     if (!*a || attempt != this->attempts) {
                       return;
                     }
                     this->in_flight = false;
                     if (answer.status == append_status::done && answer.end >= this->end) {
                       this->reach.add(answer.end - 2, bounds, this->time.now());
                       this->reach.add(answer.end - 1, next, this->time.now());
                     }
                     on_answer(answer);
                   });
}

void leadership::resign(std::function<void()> on_done) {
  this->stopping = true;
  if (!this->is_leader) {
    on_done();
    return;
  }
  this->on_successor = std::move(on_done);
  this->tick();
}

void leadership::append_resignation() {
  leader_claim next = *this->claim;
  next.resigned = true;
  const instant now = this->time.now();
  this->append_claim(next, this->own_bounds(), [this, next, now](const append_answer& answer) {
    if (answer.status == append_status::done && this->is_leader) {
      this->claim = next;
      this->note_renewal(now, answer);
    }
    // After a failure, the next tick retries unless the topic shows a successor.
  });
}

}  // namespace monsoonmux::cell
