#include "cell/record_forwarder.h"

#include <vector>

#include "cell/request_number.h"

namespace monsoonmux::cell {

record_forwarder::record_forwarder(event_loop& io, peer_port& peers_link, record_writer& own_writer,
                                   const clock& now, daemon_id name, local_leader& here,
                                   const forwarder_options& given)
    : link(peers_link),
      direct(own_writer),
      time(now),
      self(std::move(name)),
      local(here),
      options(given),
      ticker(io),
      next_number(first_request_number()) {}

record_forwarder::~record_forwarder() {
  *this->alive = false;
}

bool record_forwarder::can_forward() const {
  return this->time.now() - this->last_heartbeat < this->options.max_heartbeat_age;
}

void record_forwarder::heartbeat(epoch of_epoch, const peer_address& from) {
  if (of_epoch < this->leader_epoch) {
    return;
  }
  this->leader_epoch = of_epoch;
  this->leader = from;
  this->last_heartbeat = this->time.now();
}

void record_forwarder::write(write_request request, on_outcome done) {
  const bool here = this->local.can_store();
  const std::size_t bytes = request.record.key.size() + request.record.value.size();
  const bool fits = bytes <= this->options.max_record_bytes;
  if (!here && (!this->can_forward() || !fits)) {
    this->direct.write(std::move(request), std::move(done));
    return;
  }
  const std::int64_t number = this->next_number++;
  entry& e = this->open[number];
  e = {std::move(request), std::move(done), epoch{0}, this->time.now()};
  if (here) {
    this->local.store(e.request.record, [this, number, a = std::weak_ptr(this->alive)] {
      if (!a.expired()) {
        this->settle(number, {write_status::stored, {}});
      }
    });
  } else {
    this->send(number, e);
  }
  if (!this->ticker.pending()) {
    this->ticker.start(this->options.tick, [this] { this->tick(); });
  }
}

void record_forwarder::send(std::int64_t number, entry& e) {
  e.sent_to = this->leader_epoch;
  e.sent_at = this->time.now();
  const write_request& request = e.request;
  this->link.send(
      {this->self.text,
       store_request_message{number, request.record.key, request.record.value, request.from.host,
                             request.from.path, request.from.key, request.from.version}},
      this->leader);
}

void record_forwarder::answered(const store_answer_message& answer) {
  if (answer.stored) {
    this->settle(answer.request, {write_status::stored, {}});
    return;
  }
  this->settle(answer.request, {write_status::not_stored, not_run(answer.code, answer.detail)});
}

void record_forwarder::settle(std::int64_t number, const write_outcome& outcome) {
  const auto it = this->open.find(number);
  if (it == this->open.end()) {
    return;  // The request was passed to the direct writer meanwhile, or answered twice.
  }
  const entry e = std::move(it->second);
  this->open.erase(it);
  e.done(outcome);
}

bool record_forwarder::lost_leader(const entry& e) const {
  if (e.sent_to == epoch{0}) {
    return !this->local.can_store();
  }
  return !this->can_forward() || e.sent_to != this->leader_epoch;
}

void record_forwarder::tick() {
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
      this->settle(number, {write_status::unknown, {}});
    } else if (this->lost_leader(e)) {
      entry moved = std::move(e);
      this->open.erase(it);
      this->write_directly(std::move(moved));
    } else if (e.sent_to != epoch{0} && now - e.sent_at >= this->options.resend) {
      this->send(number, e);
    }
  }
  if (!this->open.empty()) {
    this->ticker.start(this->options.tick, [this] { this->tick(); });
  }
}

void record_forwarder::write_directly(entry e) {
  this->direct.write(std::move(e.request),
                     [done = std::move(e.done)](const write_outcome& outcome) {
                       const bool stored = outcome.status == write_status::stored;
                       done({stored ? write_status::stored : write_status::unknown, {}});
                     });
}

}  // namespace monsoonmux::cell
