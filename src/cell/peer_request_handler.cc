// A request is answered only if this daemon's state is up to date. A peer that gets no answer
// asks another daemon, whereas a wrong answer would be passed on to a caller.

#include "cell/peer_request_handler.h"

namespace monsoonmux::cell {
namespace {

// Requests that are remembered to detect repeats, which arrive within seconds.
constexpr std::size_t max_settled = 4'096;

}  // namespace

peer_request_handler::peer_request_handler(peer_port& peers_link, event_log& out, daemon_id name,
                                           job_handler& handler, work_follower& follower,
                                           advice_call_queue& calls, local_leader& local,
                                           std::function<bool()> is_active)
    : link(peers_link),
      events(out),
      self(std::move(name)),
      jobs(handler),
      work(follower),
      advice(calls),
      leader(local),
      leader_active(std::move(is_active)) {}

void peer_request_handler::advise(const advice_request_message& request, const peer_address& from) {
  this->advice.ask(
      {request.step, request.runners, millis{request.expected_ms},
       [this, number = request.request, from](bool answered, const std::vector<ticket>& tickets) {
         advice_answer_message answer{number, answered, {}};
         for (const ticket& t : tickets) {
           answer.tickets.push_back({t.runner, t.text});
         }
         this->link.send({this->self.text, std::move(answer)}, from);
       }});
}

void peer_request_handler::answer(const phase_request_message& request, const peer_address& from) {
  const auto phase = this->jobs.phase_of(request.job);
  if (phase.has_error()) {
    return;  // The peer asks another daemon next.
  }
  const std::optional<job_phase>& known = phase.value();
  this->link.send({this->self.text, phase_answer_message{request.request, known.has_value(),
                                                         known.value_or(job_phase::queued)}},
                  from);
}

void peer_request_handler::answer(const pending_request_message& request,
                                  const peer_address& from) {
  if (!this->work.loaded()) {
    return;  // The peer asks another daemon next.
  }
  this->link.send(
      {this->self.text,
       pending_answer_message{request.request, this->work.table().pending(request.queue)}},
      from);
}

void peer_request_handler::send_stored(const store_request_message& request, const peer_address& to,
                                       store_answer_message answer) {
  answer.request = request.request;
  this->link.send({this->self.text, std::move(answer)}, to);
}

// The caller may have been told, so a copy that arrives later must not be stored either.
void peer_request_handler::refuse(const request_id& id, const peer_address& from,
                                  const failure& why) {
  const store_answer_message answer{id.second, false, why.code, why.detail};
  this->settle(id, answer);
  this->link.send({this->self.text, answer}, from);
}

// A peer that is partitioned from the log may not have the newest configuration. If this
// daemon's is newer, the caller is authorized again, except for a repeat of a request whose
// record was accepted already. While this daemon cannot store records it does not answer; its
// heartbeats have stopped then, so the peer turns to the next leader or appends the record
// itself.
void peer_request_handler::store(const std::string& sender, const store_request_message& request,
                                 const peer_address& from) {
  const request_id id{sender, request.request};
  if (!this->leader_active() || this->storing.contains(id)) {
    return;  // A repeat is answered when the record is in the log.
  }
  if (const auto earlier = this->settled.find(id); earlier != this->settled.end()) {
    if (earlier->second) {
      this->send_stored(request, from, *earlier->second);
    }
    return;
  }
  if (request.version < this->jobs.config().version) {
    const auto identified = this->jobs.identify(request.host, request.path, request.caller_key);
    if (identified.has_error()) {
      this->refuse(id, from, identified.error());
      return;
    }
  }
  const auto key = parse_key(request.record_key);
  if (!key || (key->kind != record_kind::submission && key->kind != record_kind::cancellation)) {
    this->events.write("peer_record_refused", {{"from", sender}, {"key", request.record_key}});
    this->refuse(id, from, not_run(error_code::bad_request, "not a caller's record"));
    return;
  }
  const job_record* const known = this->work.table().find(key->job);
  if (known != nullptr && known->submission && key->kind == record_kind::submission) {
    this->send_stored(request, from, {0, true, {}, {}});
    return;
  }
  this->storing.insert(id);
  store_request_message original;
  original.request = request.request;
  this->leader.store({request.record_key, request.record_value}, [this, id, original, from] {
    const store_answer_message answer{0, true, {}, {}};
    this->settle(id, answer);
    this->send_stored(original, from, answer);
  });
}

void peer_request_handler::settle(const request_id& id,
                                  std::optional<store_answer_message> answer) {
  this->storing.erase(id);
  const bool is_new = this->settled.insert_or_assign(id, std::move(answer)).second;
  if (!is_new) {
    return;
  }
  this->settled_in_order.push_back(id);
  if (this->settled_in_order.size() > max_settled) {
    this->settled.erase(this->settled_in_order.front());
    this->settled_in_order.pop_front();
  }
}

// A late repeat must not be refused: the record of the first copy may be in the log.
void peer_request_handler::leadership_lost() {
  for (const request_id& id : std::set(this->storing)) {
    this->settle(id, std::nullopt);
  }
}

}  // namespace monsoonmux::cell
