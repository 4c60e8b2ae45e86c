#include "cell/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <utility>

namespace monsoonmux::cell {
namespace {

constexpr millis tick_every{50};
// A resigned owner is followed without the usual silence.
constexpr millis resigned_silence{0};
// The first owner of a cell claims once the others had time to start as well.
constexpr millis first_silence{100};

std::uint64_t random_nonce() {
  std::random_device source;
  return (static_cast<std::uint64_t>(source()) << 32U) | source();
}

}  // namespace

ownership::ownership(event_loop& io, shared_log& target, const clock& now, event_log& out,
                     const ownership_options& given, handlers callbacks)
    : log(target),
      time(now),
      events(out),
      options(given),
      on(std::move(callbacks)),
      nonce(random_nonce()),
      follower(io, target, now, out, owner_topic, {},
               {[this](const logged_record& record) { this->on_record(record); },
                [this] { this->heard = this->time.now(); },
                {}}),
      ticker(io) {}

ownership::~ownership() {
  *this->alive = false;
}

void ownership::start() {
  this->heard = this->time.now();
  this->follower.start();
  this->tick();
}

bool ownership::may_order() const {
  return this->is_owner && this->time.now() - this->renewed < this->options.orders_after_renewal;
}

void ownership::on_record(const logged_record& record) {
  if (record.record.key != owner_key) {
    return;
  }
  const auto seen = decode_claim(record.record.value);
  if (!seen) {
    this->events.write("claim_unreadable", {{"offset", record.offset}});
    return;
  }
  if (record.offset + 1 < this->end) {
    return;
  }
  this->end = record.offset + 1;
  const bool is_new_owner = !this->claim || this->claim->leader_epoch < seen->leader_epoch;
  const bool fresh = is_new_owner || this->reads_seldom || this->fresh_after.has_value();
  this->claim = seen;
  this->heard = fresh ? this->time.now() : std::max(this->heard, this->last_beat);
  const bool mine = seen->nonce == this->nonce;
  if (mine && !this->is_owner && !seen->resigned && !this->stopping) {
    // A claim whose answer was lost.
    this->is_owner = true;
    this->renewed = this->renewal_sent;
    this->former_until = this->time.now() + this->options.orders_after_renewal;
    this->on.on_gained(seen->leader_epoch);
  } else if (!mine && this->is_owner) {
    this->lose("claimed by " + seen->owner.text);
  }
}

void ownership::lose(const std::string& why) {
  if (this->is_owner) {
    this->is_owner = false;
    this->heard = this->time.now();
    this->on.on_lost(why);
    if (this->on_succeeded) {
      std::exchange(this->on_succeeded, {})();
    }
  }
}

void ownership::tick() {
  this->ticker.start(tick_every, [this] { this->tick(); });
  const instant now = this->time.now();
  this->pace_reads();
  if (this->follower.failed_reads() > 0 || !this->follower.loaded()) {
    // Silence counts only while the log would show a renewal.
    this->heard = now;
  }
  if (this->in_flight || !this->follower.loaded()) {
    return;
  }
  if (this->stopping) {
    if (this->is_owner && !this->claim->resigned) {
      this->ask_for_successor();
    }
    return;
  }
  if (this->is_owner) {
    if (now - this->renewal_sent >= this->options.renew_every) {
      this->renew();
    }
    return;
  }
  if (now - this->alive_at() >= this->claim_delay() && this->on.may_claim()) {
    this->claim_next();
  }
}

// While beats come, the topic tells nothing that they do not tell sooner. The first read
// after they ceased may show renewals from before: they are no sign of life.
void ownership::pace_reads() {
  const instant now = this->time.now();
  const bool seldom = this->hears_beats() && !this->is_owner;
  if (!seldom && !this->fresh_after && this->follower.last_contact() > this->frequent_since) {
    this->fresh_after = now;
  }
  if (seldom != this->reads_seldom) {
    this->reads_seldom = seldom;
    this->frequent_since = now;
    this->fresh_after.reset();
    this->follower.pace(seldom ? this->options.read_interval : millis{0});
  }
}

// When the owner last showed that it was alive.
instant ownership::alive_at() const {
  return this->hears_beats() ? this->heard : std::max(this->heard, this->last_beat);
}

millis ownership::claim_delay() const {
  const std::string seed =
      this->options.self.text + std::to_string(this->claim ? this->claim->leader_epoch.value : 0);
  const millis spread{
      static_cast<std::int64_t>(XXH64(seed.data(), seed.size(), 0) %
                                static_cast<std::uint64_t>(this->options.stagger.value))};
  const millis turn = spread + this->on.handicap();
  if (!this->claim) {
    return first_silence + turn;
  }
  if (this->claim->resigned) {
    return resigned_silence + turn;
  }
  return (this->hears_beats() ? this->options.claim_after_beats : this->options.claim_after) + turn;
}

void ownership::beat(epoch entry_for) {
  if (this->claim && entry_for >= this->claim->leader_epoch) {
    this->last_beat = this->time.now();
  }
}

void ownership::renew() {
  leader_claim next = *this->claim;
  this->renewal_sent = this->time.now();
  this->append_claim(next, [this, sent = this->renewal_sent](const append_answer& answer) {
    if (answer.status == append_status::done) {
      this->renewed = sent;
      this->end = std::max(this->end, answer.end);
    }
    // Otherwise the topic itself shows who owns; the next tick tries again.
  });
}

void ownership::claim_next() {
  leader_claim next;
  next.leader_epoch = epoch{this->claim ? this->claim->leader_epoch.value + 1 : 1};
  next.owner = this->options.self;
  next.nonce = this->nonce;
  next.peer_address = this->options.peer_address;
  next.peer_port = this->options.peer_port;
  this->renewal_sent = this->time.now();
  const instant former = this->alive_at() + this->options.orders_after_renewal;
  this->append_claim(next,
                     [this, next, former, sent = this->renewal_sent](const append_answer& answer) {
                       if (answer.status != append_status::done || this->is_owner) {
                         return;
                       }
                       this->claim = next;
                       this->end = std::max(this->end, answer.end);
                       this->is_owner = true;
                       this->renewed = sent;
                       // The append shows that nobody renewed since the last claim was heard.
                       this->former_until = former;
                       this->on.on_gained(next.leader_epoch);
                     });
}

void ownership::append_claim(const leader_claim& next,
                             std::function<void(const append_answer&)> on_answer) {
  append_request request;
  request.topic = owner_topic;
  request.records.push_back({owner_key, encode(next)});
  request.expected_end = this->end;
  this->in_flight = true;
  this->log.append(std::move(request),
                   [this, on_answer = std::move(on_answer), a = this->alive](append_answer answer) {
                     if (*a) {
                       this->in_flight = false;
                       on_answer(answer);
                     }
                   });
}

void ownership::resign(std::function<void()> on_done) {
  this->stopping = true;
  if (!this->is_owner) {
    on_done();
    return;
  }
  this->on_succeeded = std::move(on_done);
  this->tick();
}

void ownership::ask_for_successor() {
  leader_claim next = *this->claim;
  next.resigned = true;
  this->append_claim(next, [this, next, sent = this->time.now()](const append_answer& answer) {
    if (answer.status == append_status::done && this->is_owner) {
      this->claim = next;
      this->end = std::max(this->end, answer.end);
      this->renewed = sent;
    }
    // Otherwise the next tick tries again, if the topic shows no successor.
  });
}

}  // namespace monsoonmux::cell
