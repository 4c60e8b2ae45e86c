#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "async/event_log.h"
#include "cell/advice_call_queue.h"
#include "cell/job_handler.h"
#include "cell/peer_port.h"
#include "cell/record_forwarder.h"
#include "cell/work_follower.h"

namespace monsoonmux::cell {

// Handles the requests of other daemons: calls the advice service for the leader, answers
// queries about jobs, and, on the leader, stores callers' records in the log.
class peer_request_handler {
 public:
  // `leader_active` returns true while this daemon leads and can store records.
  peer_request_handler(peer_port& link, event_log& events, daemon_id self, job_handler& jobs,
                       work_follower& work, advice_call_queue& advice, local_leader& leader,
                       std::function<bool()> leader_active);

  void advise(const advice_request_message& request, const peer_address& from);
  void answer(const phase_request_message& request, const peer_address& from);
  void answer(const pending_request_message& request, const peer_address& from);
  void store(const std::string& sender, const store_request_message& request,
             const peer_address& from);
  // This daemon no longer leads. It will not learn whether the pending records are stored.
  void leadership_lost();

 private:
  // Sender, and the number that it gave the request.
  using request_id = std::pair<std::string, std::int64_t>;

  // The request gets this answer from now on, or none.
  void settle(const request_id& id, std::optional<store_answer_message> answer);
  void refuse(const request_id& id, const peer_address& from, const failure& why);
  void send_stored(const store_request_message& request, const peer_address& to,
                   store_answer_message answer);

  peer_port& link;
  event_log& events;
  const daemon_id self;
  job_handler& jobs;
  work_follower& work;
  advice_call_queue& advice;
  local_leader& leader;
  const std::function<bool()> leader_active;
  // Requests whose records are being appended to the log.
  std::set<request_id> storing;
  // What each of the most recent other requests was answered, oldest first in `settled_in_order`;
  // empty if its record may be stored or not. A repeat gets the same.
  std::map<request_id, std::optional<store_answer_message>> settled;
  std::deque<request_id> settled_in_order;
};

}  // namespace monsoonmux::cell
