#pragma once

#include <deque>
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
#include "decide/link_budget.h"

namespace monsoonmux::cell {

struct agent_pool_options {
  agent_options assignment;   // Which agent serves which runner.
  millis ping_interval{200};  // An agent that sent no frame for this long is pinged.
  millis agent_timeout{900};  // After this long without a frame its connection is dropped.
  // A command that reaches its agent later than this after it was sent is not executed.
  millis max_command_age{800};
  // A command times out when its answer is this much later than expected.
  millis answer_margin{1'500};
  double link_mbps = 1'000;  // Bandwidth of the leader's host.
  // Share of the link that commands may use. The rest is for heartbeats, claim renewals,
  // records and advice queries, which must not queue behind them.
  double link_share = 0.5;
  // On a narrower link commands are compressed; elsewhere that would only cost processor time.
  double compress_below_mbps = 20;
  millis burst{50};  // Commands of this much time are sent without a pause.
  // Starts should not wait longer than this for the link: the tickets that they carry are
  // valid for a second or so.
  millis max_queue_time{200};
};

// Sends commands to runners through other daemons, the agents. Commands to all runners of
// an agent are batched into one message, and so are their answers.
//
// To a runner session an agent is a slow network. If the connection to an agent is lost,
// the outcome of its pending commands is unknown, and they may still be executed a little
// later; sessions have to expect that of any command. So agents make no decisions and keep
// no state but the commands in flight. Only a very late command could do harm, at a runner
// that restarted in the meantime. Each batch therefore carries a time on the agent's own
// clock, derived from the last frame that the agent sent, until which its commands may be
// executed. This only requires that both clocks run at about the same rate.
class agent_pool final : public runner_port {
 public:
  using start_check = std::function<bool(const start_command&)>;

  // `direct` sends commands to runners that have no agent. `may_send` is asked for each start right
  // before its message is written, since the start may have waited for the agent or for the link;
  // a start that may not be sent any more is answered with `not_sent`.
  agent_pool(
      event_loop& io, runner_port& direct, frame_dialer& dialer, const clock& time,
      event_log& events, metric_registry& metrics, const agent_pool_options& options = {},
      start_check may_send = [](const start_command&) { return true; });
  ~agent_pool() override;
  agent_pool(const agent_pool&) = delete;
  agent_pool& operator=(const agent_pool&) = delete;

  void on_hello(const std::string& daemon, const peer_address& address, const domain_id& domain,
                double relative_capacity);
  void runner_listed(const std::string& runner, const domain_id& domain);

  void start(const start_command& command, std::function<void(command_answer)> on_answer) override;
  void stop(const stop_command& command, std::function<void(command_answer)> on_answer) override;
  void poll(const poll_request& command, std::function<void(poll_answer)> on_answer) override;
  // Bytes of further commands that would be sent within `max_queue_time`. Not positive if
  // the commands that wait already take longer.
  std::int64_t sendable_bytes() const;

 private:
  struct agent {
    peer_address address;
    std::unique_ptr<frame_link> link;
    command_batch outgoing;  // Sent as soon as the link budget allows.
    std::int64_t outgoing_bytes = 0;
    bool answered = false;  // A frame was received on this connection.
    instant last_received{0};
    instant agent_time{0};  // Agent's clock, as of its last frame.
    instant last_sent{0};
  };
  struct pending_command {
    std::string agent;
    std::string runner;
    millis answer_time;  // Until its answer is expected, from when it is sent.
    instant deadline;    // `never` until it is sent.
    std::function<void(command_answer)> on_answer;    // Set for a start or stop.
    std::function<void(poll_answer)> on_poll_answer;  // Set for a poll.
  };

  // Returns nullptr if the runner has no agent; otherwise `name` is set to the agent's.
  agent* agent_for(const std::string& runner, std::string& name);
  void connect(const std::string& name, agent& a);
  void queue(const std::string& name, agent& a, runner_command command, pending_command entry);
  void post_flush();
  // Sends what the link budget allows, and the rest later.
  void flush();
  void send(agent& a);
  // Takes the starts that may not be sent any more out of the agent's next message.
  void withhold_starts(agent& a);
  std::string encode_for_link(const command_batch& batch) const;
  void received(const std::string& name, const std::string& frame);
  void settle(numbered_answer answer);
  void disconnect(const std::string& name, const char* why);
  // Reports the outcome of the command to the caller.
  void answer(const pending_command& command, const command_answer& response);
  void answer(const pending_command& command, const poll_answer& response);
  void fail(const pending_command& command);
  void record_status(const pending_command& command, command_status status);
  void tick();

  event_loop& io;
  runner_port& direct;
  frame_dialer& dialer;
  const clock& time;
  event_log& events;
  metric_registry& metrics;
  const agent_pool_options options;
  const start_check may_send;
  agent_table assignment;
  link_budget budget;
  timer pause;  // Until the link budget allows the next batch.
  timer ticker;
  std::map<std::string, agent> agents;
  double wire_ratio = 1;            // Moving average of the bytes sent, relative to their estimate.
  std::deque<std::string> waiting;  // Agents with commands to send, the longest waiting first.
  std::map<std::int64_t, pending_command> pending;
  // Closed links, destroyed later: their handlers may be on the stack.
  std::vector<std::unique_ptr<frame_link>> closed;
  std::int64_t next_number = 1;
  bool flush_posted = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
