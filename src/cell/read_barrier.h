#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cell/log_follower.h"
#include "cell/shared_log.h"
#include "cell/timer.h"

namespace monsoonmux::cell {

// Tells when all records of a topic have been delivered that were in the log when that was asked
// for. What a follower has delivered may be as old as its last answer, and older in an outage.
class read_barrier {
 public:
  // `follower` follows the topic and must outlive the barrier.
  read_barrier(event_loop& io, shared_log& log, std::string topic, log_follower& follower);
  ~read_barrier();
  read_barrier(const read_barrier&) = delete;
  read_barrier& operator=(const read_barrier&) = delete;

  // Calls back once, as soon as the log has answered. Asks again until it does.
  void pass(std::function<void()> on_current);

 private:
  void read();
  void answered(const result<read_answer>& answer);
  void retry();

  shared_log& log;
  const std::string topic;
  log_follower& follower;
  timer next_try;
  bool in_flight = false;
  std::vector<std::function<void()>> waiting;   // For the read that is under way.
  std::vector<std::function<void()>> for_next;  // Asked since that was sent.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
