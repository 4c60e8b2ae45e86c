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

// Carries an owner's orders to runners and their answers back.
//
// It decides nothing: orders bear their owner's token, which runners check, so it does
// not matter which owner is the newest. Orders that lay here for too long, while the
// daemon was frozen for example, are not carried out.
class runner_agent {
 public:
  runner_agent(event_loop& io, runner_port& runners, const clock& time, event_log& events);
  ~runner_agent();
  runner_agent(const runner_agent&) = delete;
  runner_agent& operator=(const runner_agent&) = delete;

  // An owner's connection with this number began.
  void opened(std::int64_t connection, frame_link& link);
  // False if the frame cannot be read; the connection has to be closed.
  bool received(std::int64_t connection, const std::string& frame);
  // Answers to its orders have no receiver any more.
  void closed(std::int64_t connection);

 private:
  struct leader_connection {
    frame_link* link = nullptr;
    answer_batch next;  // Leaves after what runs now.
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
