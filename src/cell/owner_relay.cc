#include "cell/owner_relay.h"

#include <vector>

#include "cell/request_number.h"

namespace monsoonmux::cell {

owner_relay::owner_relay(event_loop& io, peer_port& peers_link, record_writer& own_writer,
                         const clock& now, daemon_id name, local_owner& here,
                         const relay_options& given)
    : link(peers_link),
      own(own_writer),
      time(now),
      self(std::move(name)),
      local(here),
      options(given),
      ticker(io),
      next_number(first_request_number()) {}

owner_relay::~owner_relay() {
  *this->alive = false;
}

bool owner_relay::can_relay() const {
  return this->time.now() - this->last_beat < this->options.beat_age;
}

void owner_relay::beat(epoch entry_for, const peer_address& from) {
  if (entry_for < this->leader_epoch) {
    return;
  }
  this->leader_epoch = entry_for;
  this->owner = from;
  this->last_beat = this->time.now();
}

void owner_relay::write(write_request request, on_outcome done) {
  const bool here = this->local.can_store();
  const std::size_t bytes = request.record.key.size() + request.record.value.size();
  const bool fits = bytes <= this->options.largest_record;
  if (!here && (!this->can_relay() || !fits)) {
    this->own.write(std::move(request), std::move(done));
    return;
  }
  const std::int64_t number = this->next_number++;
  entry& e = this->open[number];
  e = {std::move(request), std::move(done), epoch{0}, this->time.now()};
  if (here) {
    this->local.store(e.request.record, [this, number, a = std::weak_ptr(this->alive)] {
      if (!a.expired()) {
        this->settle(number, {write_fate::stored, {}});
      }
    });
  } else {
    this->send(number, e);
  }
  if (!this->ticker.pending()) {
    this->ticker.start(this->options.tick, [this] { this->tick(); });
  }
}

void owner_relay::send(std::int64_t number, entry& e) {
  e.sent_to = this->leader_epoch;
  e.sent_at = this->time.now();
  const write_request& request = e.request;
  this->link.send(
      {this->self.text,
       store_request_message{number, request.record.key, request.record.value, request.from.host,
                             request.from.path, request.from.key, request.from.version}},
      this->owner);
}

void owner_relay::answered(const store_answer_message& answer) {
  if (answer.stored) {
    this->settle(answer.request, {write_fate::stored, {}});
    return;
  }
  this->settle(answer.request, {write_fate::not_stored, not_run(answer.code, answer.detail)});
}

void owner_relay::settle(std::int64_t number, const write_outcome& outcome) {
  const auto it = this->open.find(number);
  if (it == this->open.end()) {
    return;  // Written here meanwhile, or answered twice.
  }
  const entry e = std::move(it->second);
  this->open.erase(it);
  e.done(outcome);
}

bool owner_relay::lost_owner(const entry& e) const {
  if (e.sent_to == epoch{0}) {
    return !this->local.can_store();
  }
  return !this->can_relay() || e.sent_to != this->leader_epoch;
}

void owner_relay::tick() {
  const instant now = this->time.now();
  std::vector<std::int64_t> numbers;
  for (const auto& [number, e] : this->open) {
    numbers.push_back(number);
  }
  for (const std::int64_t number : numbers) {
    const auto it = this->open.find(number);
    if (it == this->open.end()) {
      continue;
    }
    entry& e = it->second;
    if (e.request.deadline <= now) {
      this->settle(number, {write_fate::unknown, {}});
    } else if (this->lost_owner(e)) {
      entry moved = std::move(e);
      this->open.erase(it);
      this->write_here(std::move(moved));
    } else if (e.sent_to != epoch{0} && now - e.sent_at >= this->options.resend) {
      this->send(number, e);
    }
  }
  if (!this->open.empty()) {
    this->ticker.start(this->options.tick, [this] { this->tick(); });
  }
}

void owner_relay::write_here(entry e) {
  this->own.write(std::move(e.request), [done = std::move(e.done)](const write_outcome& outcome) {
    const bool stored = outcome.fate == write_fate::stored;
    done({stored ? write_fate::stored : write_fate::unknown, {}});
  });
}

}  // namespace monsoonmux::cell
