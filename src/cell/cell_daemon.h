#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "async/event_log.h"
#include "async/metric_registry.h"
#include "base/host_limits.h"
#include "cell/advice_call_queue.h"
#include "cell/cell_sources.h"
#include "cell/heartbeat_sender.h"
#include "cell/job_handler.h"
#include "cell/leader.h"
#include "cell/leadership.h"
#include "cell/log_follower.h"
#include "cell/peer_port.h"
#include "cell/peer_request_handler.h"
#include "cell/peer_state_client.h"
#include "cell/read_barrier.h"
#include "cell/record_forwarder.h"
#include "cell/submission_writer.h"
#include "cell/work_follower.h"

namespace monsoonmux::cell {

struct daemon_options {
  daemon_id self;
  std::string address;  // Address of this host for its peers.
  std::uint16_t peer_port = 0;
  domain_id domain;
  host_limits host;
  heartbeat_options heartbeats;
  follow_options follow;
  leader_options leader;
  leadership_options leadership;  // self, peer_address and peer_port are filled in.
  millis hello_interval{400};     // Between two hello messages to the leader.
  // The daemon reports itself as not ready when the log has not answered it for this
  // long, so that new connections go to other daemons.
  millis unready_after{1'100};
  // A read of the jobs' records waits this long for a new record. The bound lets the
  // daemon notice that the log has stopped answering.
  millis work_read_wait{600};
  millis discovery_interval{250};  // Between two reads of the list of runners.
  // Between two reads of the jobs' records by daemons that do not lead. The leader's
  // heartbeats carry most changes sooner.
  millis work_read_interval{400};
  // The leader sends heartbeats only if its last claim renewal is no older than this.
  millis heartbeat_renewal_age{1'500};
  millis leader_work_read_interval{100};
  // A daemon that does not follow the work records counts as ready while the last
  // heartbeat of a leader is more recent than this.
  millis ready_after_heartbeat{2'500};
  // The weakest host waits this much longer than the strongest before it claims, unless
  // the leader chose it as a standby.
  millis weak_host_claim_delay{800};
};

// The daemon's interfaces to the platform.
struct daemon_ports {
  shared_log& log;
  runner_port& runners;
  frame_dialer& dialer;
  advice_port& advice;
  peer_port& peers;
  const cell_sources& sources;
};

// One daemon of the cell. It follows the configuration and the jobs' records, serves
// callers, queries the advice service on behalf of the leader, and acts as the leader
// when its own claim wins.
class cell_daemon final : private local_leader {
 public:
  cell_daemon(event_loop& io, const daemon_ports& ports, const clock& time, event_log& events,
              metric_registry& metrics, const daemon_options& options);
  ~cell_daemon() override;
  cell_daemon(const cell_daemon&) = delete;
  cell_daemon& operator=(const cell_daemon&) = delete;

  void start();
  job_handler& handler() { return this->jobs; }
  // True if this daemon leads the cell and its takeover is complete.
  bool leads() const { return this->leader_role != nullptr && this->leader_role->active(); }
  // True if this daemon reads the jobs' records. The other daemons query those that do.
  bool follows_work() const { return this->work.follows(); }
  // The run-time estimates of the leader; null if this daemon does not lead.
  const run_time_estimator* run_times() const {
    return this->leads() ? &this->leader_role->run_times() : nullptr;
  }
  // True if new connections of callers should go to this daemon.
  bool ready() const;
  void on_peer_message(const peer_message& message, const peer_address& from);
  // Resigns as leader, if it leads, and reports the daemon as not ready.
  void drain(std::function<void()> on_resigned);

 private:
  bool can_store() const override { return this->leads() && this->leader_role->can_write(); }
  void store(keyed_record record, std::function<void()> on_stored) override;

  void config_record(const logged_record& record);
  void work_record(const logged_record& record);
  // Puts the job into the next heartbeat if its phase differs from `was`.
  void announce_phase(const job_id& job, std::optional<job_phase> was);
  void runner_record(const logged_record& record);
  void runner_unreadable(const std::string& id, const std::string& why);
  void runners_loaded();
  void leadership_gained(epoch at);
  void leadership_lost(const std::string& why);
  void begin_leadership();
  void finish_takeover();
  void send_hello();
  void receive_heartbeat(const leader_heartbeat_message& heartbeat, const peer_address& from);
  // The peers that may know of jobs that are not in this daemon's table.
  std::vector<peer_address> informed_peers() const;
  millis extra_claim_delay() const;
  instant log_contact() const;
  void send_heartbeat();
  void update_standbys(const leader_heartbeat_message& heartbeat);
  // Logs when the heartbeats of a leader begin or cease to arrive.
  void log_leader_contact();
  bool sends_heartbeats() const;
  std::optional<peer_address> leader_address() const;

  event_loop& io;
  daemon_ports ports;
  const clock& time;
  event_log& events;
  metric_registry& metrics;
  const daemon_options options;
  submission_writer writer;
  record_forwarder forwarder;
  heartbeat_sender heartbeat;
  peer_state_client peer_states;
  job_handler jobs;
  advice_call_queue advice;
  log_follower config_follower;
  read_barrier config_barrier;
  work_follower work;
  peer_request_handler peer_requests;
  leadership election;
  std::unique_ptr<log_follower> runner_follower;
  std::unique_ptr<leader> leader_role;
  std::set<std::string> runners_listed;  // In the current load of the list.
  std::set<std::string> runners_known;
  std::set<std::string> runners_unreadable;  // Whose newest entries are unreadable.
  epoch own_epoch{0};
  std::int64_t fenced_at = -1;  // End of the log at the fence of this epoch; -1: not fenced yet.
  timer hello_timer;
  timer heartbeat_timer;
  std::optional<peer_address> heartbeat_source;  // The newest leader that sends heartbeats.
  std::vector<peer_address> standbys;            // The standbys of that leader, as far as known.
  instant last_heartbeat{0};
  timer retire_timer;
  std::unique_ptr<leader> retired;
  std::unique_ptr<log_follower> retired_follower;
  bool leader_reachable = false;
  bool draining = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
