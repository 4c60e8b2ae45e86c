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
#include "cell/record_forwarder.h"
#include "cell/submission_writer.h"
#include "cell/work_follower.h"

namespace monsoonmux::cell {

struct daemon_options {
  daemon_id self;
  std::string address;  // Of this host, for its peers.
  std::uint16_t peer_port = 0;
  domain_id domain;
  host_limits host;
  heartbeat_options heartbeats;
  follow_options follow;
  leader_options leader;
  leadership_options leadership;  // self, peer_address and peer_port are filled in.
  millis hello_interval{400};     // To the owner.
  // Without an answer of the log for this long, new connections should go to
  // other daemons.
  millis unready_after{1'100};
  // A read of the jobs' records waits this long for one, so that silence is noticed.
  millis work_read_wait{600};
  millis discovery_interval{250};  // Between two reads of the runners' list.
  // Between two reads of the jobs' records by daemons that do not own. The owner's
  // beats tell them most of it sooner.
  millis work_read_interval{400};
  // The owner tells its peers that it is alive only if its claim was renewed this
  // lately.
  millis heartbeat_renewal_age{1'500};
  millis leader_work_read_interval{100};
  // A daemon that does not follow the work serves callers as long as it heard an owner
  // this lately.
  millis ready_after_heartbeat{2'500};
  // The weakest host lets an owner be silent for so much longer than the strongest,
  // unless the owner chose it.
  millis weak_host_claim_delay{800};
};

// What a daemon gets from the platform.
struct daemon_ports {
  shared_log& log;
  runner_port& runners;
  frame_dialer& dialer;
  advice_port& advice;
  peer_port& peers;
  const cell_sources& sources;
};

// One daemon: follows the configuration and the jobs, serves callers, asks for
// advice when the owner wants it, and is the owner itself when its claim wins.
class cell_daemon final : private local_leader {
 public:
  cell_daemon(event_loop& io, const daemon_ports& ports, const clock& time, event_log& events,
              metric_registry& metrics, const daemon_options& options);
  ~cell_daemon() override;
  cell_daemon(const cell_daemon&) = delete;
  cell_daemon& operator=(const cell_daemon&) = delete;

  void start();
  job_handler& handler() { return this->jobs; }
  // True if it gives the orders.
  bool leads() const { return this->leader_role != nullptr && this->leader_role->active(); }
  // True if it reads the records of the work; the others ask those that do.
  bool follows_work() const { return this->work.follows(); }
  // What it knows of run times as the owner; null if it is not.
  const run_time_estimator* run_times() const {
    return this->leads() ? &this->leader_role->run_times() : nullptr;
  }
  // True if callers are served well here.
  bool ready() const;
  void on_peer_message(const peer_message& message, const peer_address& from);
  // Gives ownership away and reports itself as not ready.
  void drain(std::function<void()> on_resigned);

 private:
  bool can_store() const override { return this->leads() && this->leader_role->can_write(); }
  void store(keyed_record record, std::function<void()> on_stored) override;

  void config_record(const logged_record& record);
  void work_record(const logged_record& record);
  // Has the next beat tell of a job whose phase is another than it `was`.
  void announce_phase(const job_id& job, std::optional<job_phase> was);
  void runner_record(const logged_record& record);
  void runners_loaded();
  void leadership_gained(epoch at);
  void leadership_lost(const std::string& why);
  void begin_leadership();
  void finish_takeover();
  void send_hello();
  void receive_heartbeat(const leader_heartbeat_message& heartbeat, const peer_address& from);
  // Who may know what this daemon's book does not.
  std::vector<peer_address> informed_peers() const;
  millis extra_claim_delay() const;
  instant log_contact() const;
  void send_heartbeat();
  void update_standbys(const leader_heartbeat_message& heartbeat);
  // Logs when beats of an owner begin or cease to arrive.
  void log_leader_contact();
  bool heartbeats() const;
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
  work_follower work;
  peer_request_handler peer_requests;
  leadership election;
  std::unique_ptr<log_follower> runner_follower;
  std::unique_ptr<leader> leader_role;
  std::set<std::string> runners_listed;  // Since the list was last loaded.
  std::set<std::string> runners_known;
  epoch own_epoch{0};
  std::int64_t fenced_at = -1;  // End of the log at our fence; -1: not fenced yet.
  timer hello;
  timer heartbeat_timer;
  std::optional<peer_address> heartbeat_source;  // Of the newest owner that beats.
  std::vector<peer_address> standbys;            // Of that owner, as far as they are known.
  instant last_heartbeat{0};
  timer retire_timer;
  std::unique_ptr<leader> retired;
  std::unique_ptr<log_follower> retired_follower;
  bool leader_reachable = false;
  bool draining = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
