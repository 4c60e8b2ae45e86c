#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cell/advice_port.h"

namespace monsoonmux::cell {

// Calls the advice service on behalf of the leader, one call at a time. The service
// serializes the calls of one host, so a concurrent second call would only wait there.
class advice_call_queue {
 public:
  struct request {
    std::string step;
    std::vector<std::string> runners;
    millis expected;  // Expected duration of the call.
    std::function<void(bool answered, const std::vector<ticket>&)> on_answer;
  };

  advice_call_queue(advice_port& port, const clock& time);
  ~advice_call_queue();
  advice_call_queue(const advice_call_queue&) = delete;
  advice_call_queue& operator=(const advice_call_queue&) = delete;

  void ask(request r);
  // Estimated time until a new request would be sent to the service.
  millis backlog() const;

 private:
  void start_next();

  advice_port& port;
  const clock& time;
  std::deque<request> waiting;
  bool busy = false;
  instant busy_until{0};
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
