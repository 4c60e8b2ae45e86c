#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "async/event_log.h"
#include "async/metric_registry.h"
#include "base/clock.h"
#include "cell/agent_message.h"
#include "cell/frame_link.h"
#include "cell/runner_port.h"
#include "cell/timer.h"
#include "decide/agent_table.h"

namespace monsoonmux::cell {

struct agent_pool_options {
  agent_options assignment;
  millis ping_interval{200};  // An agent that is silent for this long is asked for a sign of life.
  millis agent_timeout{900};  // After this without one its connection counts as broken.
  // An order that has not reached its agent's hands by then is not carried out.
  millis max_command_age{800};
  // An answer that takes this much longer than it was to take is no longer waited for.
  millis answer_margin{1'500};
};

// Orders to runners through other daemons, the agents: what is to be said to all
// runners of an agent goes there in one message, and what they answer comes back in one.
//
// To a session an agent is a slow network. An order whose agent breaks has an unknown
// fate, and may still be carried out a little later; sessions have to expect that of any
// order. So agents decide nothing, and keep nothing but orders under way. Only an order
// that is very late could do harm, at a runner that was reborn meanwhile: so orders name
// a time on the agent's own clock, reckoned from its last sign of life, until which it
// may carry them out. Both clocks only have to run at about the same rate.
class agent_pool final : public runner_port {
 public:
  // `direct` speaks to runners that no agent carries.
  agent_pool(event_loop& io, runner_port& direct, frame_dialer& dialer, const clock& time,
             event_log& events, metric_registry& metrics, const agent_pool_options& options = {});
  ~agent_pool() override;
  agent_pool(const agent_pool&) = delete;
  agent_pool& operator=(const agent_pool&) = delete;

  void on_hello(const std::string& daemon, const peer_address& address, const domain_id& domain,
                double relative_capacity);
  void runner_listed(const std::string& runner, const domain_id& domain);

  void start(const start_command& command, std::function<void(command_answer)> on_answer) override;
  void stop(const stop_command& command, std::function<void(command_answer)> on_answer) override;
  void poll(const poll_request& command, std::function<void(poll_answer)> on_answer) override;

 private:
  struct agent {
    peer_address address;
    std::unique_ptr<frame_link> link;
    command_batch next;     // Leaves after what runs now.
    bool answered = false;  // Anything came over this connection.
    instant last_received{0};
    instant agent_time{0};  // Clock of the agent at `last_received`.
    instant last_sent{0};
  };
  struct pending_command {
    std::string agent;
    std::string runner;
    instant give_up;
    std::function<void(command_answer)> on_answer;  // Of a start or stop.
    std::function<void(poll_answer)> on_report;     // Of a hold.
  };

  // Null: no agent carries the runner.
  agent* agent_for(const std::string& runner, std::string& name);
  void connect(const std::string& name, agent& a);
  void queue(agent& a, runner_command command, pending_command open);
  void post_flush();
  void flush();
  void send(agent& a);
  void received(const std::string& name, const std::string& frame);
  void settle(numbered_answer answer);
  void disconnect(const std::string& name, const char* why);
  // Passes on what became of the order.
  void answer(const pending_command& command, const command_answer& response);
  void answer(const pending_command& command, const poll_answer& response);
  void fail(const pending_command& command);
  void note_status(const pending_command& command, command_status status);
  void tick();

  event_loop& io;
  runner_port& direct;
  frame_dialer& dialer;
  const clock& time;
  event_log& events;
  metric_registry& metrics;
  const agent_pool_options options;
  agent_table assignment;
  timer ticker;
  std::map<std::string, agent> agents;
  std::map<std::int64_t, pending_command> open;
  // Links whose handlers may still be on the stack.
  std::vector<std::unique_ptr<frame_link>> closed;
  std::int64_t next_number = 1;
  bool flush_posted = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
