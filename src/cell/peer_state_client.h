#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/failure.h"
#include "cell/peer_message.h"
#include "cell/peer_port.h"
#include "cell/state_source.h"
#include "cell/timer.h"

namespace monsoonmux::cell {

struct peer_state_options {
  // Delay before the next peer is asked; the query or its answer may have been lost.
  millis resend{120};
  // Upper limit for the deadline of a query; long enough for a leader change.
  millis max_wait{2'300};
  millis tick{40};
};

// Queries the leader and the standbys about the state of jobs, on behalf of a daemon that
// does not follow the work topic.
//
// Queries are read-only, so each is sent to one peer after the other until one answers or
// the deadline passes; in the latter case the caller gets `unavailable` and may retry. The
// list of peers is evaluated for every attempt, since there may be a new leader by then.
class peer_state_client final : public state_source {
 public:
  // Returns the peers that may know the answer, best candidate first.
  using peer_source = std::function<std::vector<peer_address>()>;

  peer_state_client(event_loop& io, peer_port& link, const clock& time, daemon_id self,
                    peer_source peer_list, const peer_state_options& options = {});
  ~peer_state_client() override;
  peer_state_client(const peer_state_client&) = delete;
  peer_state_client& operator=(const peer_state_client&) = delete;

  void phase(const job_id& job, instant deadline,
             reply<std::optional<job_phase>> on_answer) override;
  void pending(const queue_id& queue, instant deadline, reply<std::int64_t> on_answer) override;
  void answered(const phase_answer_message& answer);
  void answered(const pending_answer_message& answer);

 private:
  struct pending_query {
    peer_body body;
    instant deadline;
    instant sent_at{0};
    std::size_t tries = 0;
    reply<std::optional<job_phase>> on_phase;
    reply<std::int64_t> on_pending;
  };

  void ask(std::int64_t number, pending_query q, instant deadline);
  void send(pending_query& q);
  void tick();
  std::optional<pending_query> remove(std::int64_t number);

  peer_port& link;
  const clock& time;
  const daemon_id self;
  const peer_source peer_list;
  const peer_state_options options;
  timer ticker;
  std::map<std::int64_t, pending_query> queries;
  std::int64_t next_number;
};

}  // namespace monsoonmux::cell
