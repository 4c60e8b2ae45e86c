#include "cell/peer_state_client.h"

#include <algorithm>

#include "cell/request_number.h"

namespace monsoonmux::cell {

peer_state_client::peer_state_client(event_loop& io, peer_port& peers_link, const clock& now,
                                     daemon_id name, peer_source peers,
                                     const peer_state_options& given)
    : link(peers_link),
      time(now),
      self(std::move(name)),
      peer_list(std::move(peers)),
      options(given),
      ticker(io),
      next_number(first_request_number()) {}

peer_state_client::~peer_state_client() = default;

void peer_state_client::phase(const job_id& job, instant deadline,
                              reply<std::optional<job_phase>> on_answer) {
  const std::int64_t number = this->next_number++;
  pending_query q;
  q.body = phase_request_message{number, job};
  q.on_phase = std::move(on_answer);
  this->ask(number, std::move(q), deadline);
}

void peer_state_client::pending(const queue_id& queue, instant deadline,
                                reply<std::int64_t> on_answer) {
  const std::int64_t number = this->next_number++;
  pending_query q;
  q.body = pending_request_message{number, queue};
  q.on_pending = std::move(on_answer);
  this->ask(number, std::move(q), deadline);
}

void peer_state_client::ask(std::int64_t number, pending_query q, instant deadline) {
  q.deadline = std::min(deadline, this->time.now() + this->options.max_wait);
  pending_query& entry = this->queries[number] = std::move(q);
  this->send(entry);
  if (!this->ticker.pending()) {
    this->ticker.start(this->options.tick, [this] { this->tick(); });
  }
}

void peer_state_client::send(pending_query& q) {
  q.sent_at = this->time.now();
  const std::vector<peer_address> peers = this->peer_list();
  if (!peers.empty()) {
    this->link.send({this->self.text, q.body}, peers[q.tries++ % peers.size()]);
  }
}

std::optional<peer_state_client::pending_query> peer_state_client::remove(std::int64_t number) {
  const auto it = this->queries.find(number);
  if (it == this->queries.end()) {
    return std::nullopt;  // Another peer has answered, or the query timed out.
  }
  pending_query out = std::move(it->second);
  this->queries.erase(it);
  return out;
}

void peer_state_client::answered(const phase_answer_message& answer) {
  const auto q = this->remove(answer.request);
  if (q && q->on_phase) {
    q->on_phase(answer.known ? std::optional(answer.phase) : std::nullopt);
  }
}

void peer_state_client::answered(const pending_answer_message& answer) {
  const auto q = this->remove(answer.request);
  if (q && q->on_pending) {
    q->on_pending(answer.pending);
  }
}

void peer_state_client::tick() {
  const instant now = this->time.now();
  std::vector<std::int64_t> expired;
  for (auto& [number, q] : this->queries) {
    if (q.deadline <= now) {
      expired.push_back(number);
    } else if (now - q.sent_at >= this->options.resend) {
      this->send(q);
    }
  }
  for (const std::int64_t number : expired) {
    const auto q = this->remove(number);
    const failure why = not_run(error_code::unavailable, "no daemon that follows the work answers");
    if (q && q->on_phase) {
      q->on_phase(why);
    } else if (q && q->on_pending) {
      q->on_pending(why);
    }
  }
  if (!this->queries.empty()) {
    this->ticker.start(this->options.tick, [this] { this->tick(); });
  }
}

}  // namespace monsoonmux::cell
