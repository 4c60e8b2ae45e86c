// Proof that the incarnation on which work was placed still runs. A lease is the end of a span
// on the clock of one incarnation. Another incarnation, whose clock began anew, would grant its
// own maximum instead, and a successor reckons with less.

#include <algorithm>
#include <vector>

#include "cell/runner_session.h"

namespace monsoonmux::cell {
namespace {

// Assumption: a runner that restarts executes no command for so long after its last answer,
// the way of the command included.
constexpr millis shortest_restart{200};
// An answer to a poll that did not wait counts as a proof when it arrives, although it was under
// way for longer than that, up to this; otherwise a slow link would get no work.
constexpr millis longest_way{1'500};
// For so long after it arrived; longer than the delay of a poll that is repeated.
constexpr millis slow_link_grace{300};

}  // namespace

bool runner_session::is_proven(instant now) const {
  const bool answered_lately =
      this->proof_age(now) <= shortest_restart || now <= this->proven_until;
  return answered_lately && !this->leases.has_late_grants();
}

void runner_session::note_proof(instant sent) {
  const instant now = this->time.now();
  const millis way = now - sent;
  if (way > shortest_restart && way <= longest_way) {
    this->proven_until = now + slow_link_grace;
  }
}

void runner_session::suspect_restart() {
  this->admitted = false;
  this->announced = false;
  this->incarnation_uncertain = true;
}

void runner_session::prove() {
  if (this->proof_in_flight) {
    return;
  }
  this->proof_in_flight = true;
  poll_request request;
  request.target = this->target();
  const instant sent = this->time.now();
  this->port.poll(request, [this, sent, token = request.target.token,
                            a = this->alive](const poll_answer& answer) {
    if (*a) {
      this->proof_in_flight = false;
      this->proof_answered(answer, token, sent);
    }
  });
}

// Other polls may be under way, so the lists of this report may be older than those of one that
// was handled before: only its incarnation and clock count.
void runner_session::proof_answered(const poll_answer& answer, fencing_token token, instant sent) {
  if (answer.status == command_status::fenced && !this->is_superseded(token)) {
    this->leader.token_refused(this->id);
    return;
  }
  const bool answered = answer.status == command_status::done;
  const bool same = answered && answer.report.incarnation == this->incarnation;
  if (same) {
    this->reported_clock_ms = std::max(this->reported_clock_ms, answer.report.clock_ms);
  }
  if (answered && !this->is_superseded(token)) {
    this->note_fence();
  }
  if (same) {
    this->runner_time.confirm({answer.report.clock_ms, sent, this->time.now()});
    this->note_proof(sent);
  } else if (answered) {
    // An answer to a poll that was sent before must not admit the runner again.
    this->suspect_restart();
    this->raise_token_for_restart();
    this->leader.runner_unresponsive(this->id);
  }
  if (same && this->acknowledgement_due()) {
    this->poll();  // A start would have to be confirmed before.
  }
  for (const run_key& run : this->starts_without_proof()) {
    const auto it = this->runs.find(run);
    if (it == this->runs.end() || it->second.stopping) {
      continue;  // Because another start was refused.
    }
    it->second.awaits_proof = false;
    if (same && this->is_proven(this->time.now())) {
      this->send_start(run);
    } else if (answered && !same) {
      this->start_refused(run, it->second, "runner_restarted");
    } else {
      ++it->second.attempts;
      this->retry_start(run, it->second, same ? "answer_too_old" : to_string(answer.status));
    }
  }
  this->poll();
}

std::vector<run_key> runner_session::starts_without_proof() const {
  std::vector<run_key> out;
  for (const auto& [run, tracked] : this->runs) {
    if (tracked.awaits_proof && !tracked.stopping) {
      out.push_back(run);
    }
  }
  return out;
}

}  // namespace monsoonmux::cell
