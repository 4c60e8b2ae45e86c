#pragma once

#include <map>
#include <memory>
#include <string>

#include "async/event_log.h"
#include "cell/agent_message.h"
#include "cell/event_loop.h"
#include "cell/frame_link.h"
#include "cell/runner_port.h"

namespace monsoonmux::cell {

// Forwards a leader's commands to runners, and the runners' answers to the leader.
//
// The agent makes no decisions. Commands carry their leader's fencing token, which runners
// check, so the agent need not know which leader is the newest. Commands that were delayed
// here for too long, for example while the daemon was frozen, are not executed.
class runner_agent {
 public:
  runner_agent(event_loop& io, runner_port& runners, const clock& time, event_log& events);
  ~runner_agent();
  runner_agent(const runner_agent&) = delete;
  runner_agent& operator=(const runner_agent&) = delete;

  // A leader opened the connection with this number.
  void opened(std::int64_t connection, frame_link& link);
  // Returns false if the frame cannot be decoded; the caller must close the connection.
  bool received(std::int64_t connection, const std::string& frame);
  // The connection was closed; answers to its commands are dropped.
  void closed(std::int64_t connection);

 private:
  struct leader_connection {
    frame_link* link = nullptr;
    answer_batch outgoing;  // Sent after the current event-loop callback.
    bool flush_posted = false;
  };

  void execute(std::int64_t connection, const numbered_command& command);
  void reject(std::int64_t connection, const command_batch& late);
  void answer(std::int64_t connection, numbered_answer answer);
  void post_flush(std::int64_t connection, leader_connection& to);

  event_loop& io;
  runner_port& runners;
  const clock& time;
  event_log& events;
  std::map<std::int64_t, leader_connection> leaders;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
