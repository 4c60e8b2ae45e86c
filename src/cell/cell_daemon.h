#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "async/counters.h"
#include "async/event_log.h"
#include "base/host_limits.h"
#include "cell/advice_desk.h"
#include "cell/beat_sender.h"
#include "cell/cell_sources.h"
#include "cell/job_desk.h"
#include "cell/log_follower.h"
#include "cell/owner.h"
#include "cell/owner_relay.h"
#include "cell/ownership.h"
#include "cell/peer_desk.h"
#include "cell/peer_port.h"
#include "cell/state_inquiry.h"
#include "cell/submission_writer.h"
#include "cell/work_feed.h"

namespace monsoonmux::cell {

struct daemon_options {
  daemon_id self;
  std::string address;  // Of this host, for its peers.
  std::uint16_t peer_port = 0;
  domain_id domain;
  host_limits host;
  beat_options beats;
  follow_options follow;
  owner_options owner;
  ownership_options ownership;  // self, peer_address and peer_port are filled in.
  millis hello_every{400};      // To the owner.
  // Without an answer of the log for this long, new connections should go to
  // other daemons.
  millis unready_after{1'100};
  // A read of the jobs' records waits this long for one, so that silence is noticed.
  millis book_wait{600};
  millis discovery_interval{250};  // Between two reads of the runners' list.
  // Between two reads of the jobs' records by daemons that do not own. The owner's
  // beats tell them most of it sooner.
  millis book_interval{400};
  // The owner tells its peers that it is alive only if its claim was renewed this
  // lately.
  millis beat_renewal_age{1'500};
  millis owner_book_interval{100};
  // A daemon that does not follow the work serves callers as long as it heard an owner
  // this lately.
  millis ready_after_beat{2'500};
  // The weakest host lets an owner be silent for so much longer than the strongest,
  // unless the owner chose it.
  millis weakness_handicap{800};
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
class cell_daemon final : private local_owner {
 public:
  cell_daemon(event_loop& io, const daemon_ports& ports, const clock& time, event_log& events,
              metric_registry& metrics, const daemon_options& options);
  ~cell_daemon() override;
  cell_daemon(const cell_daemon&) = delete;
  cell_daemon& operator=(const cell_daemon&) = delete;

  void start();
  job_desk& desk() { return this->front; }
  // True if it gives the orders.
  bool owns() const { return this->orders != nullptr && this->orders->active(); }
  // True if it reads the records of the work; the others ask those that do.
  bool follows_work() const { return this->work.follows(); }
  // What it knows of run times as the owner; null if it is not.
  const run_time_estimator* run_times() const {
    return this->owns() ? &this->orders->run_times() : nullptr;
  }
  // True if callers are served well here.
  bool ready() const;
  void heard(const peer_message& message, const peer_address& from);
  // Gives ownership away and reports itself as not ready.
  void drain(std::function<void()> on_resigned);

 private:
  bool can_store() const override { return this->owns() && this->orders->writes(); }
  void store(keyed_record record, std::function<void()> on_stored) override;

  void config_record(const logged_record& record);
  void work_record(const logged_record& record);
  // Has the next beat tell of a job whose phase is another than it `was`.
  void tell_peers(const job_id& job, std::optional<job_phase> was);
  void runner_record(const logged_record& record);
  void runners_loaded();
  void gained(epoch at);
  void lost(const std::string& why);
  void begin_ownership();
  void finish_takeover();
  void say_hello();
  void hear_beat(const owner_beat_message& beat, const peer_address& from);
  // Who may know what this daemon's book does not.
  std::vector<peer_address> knowing_peers() const;
  millis claim_handicap() const;
  instant log_contact() const;
  void send_beat();
  void note_standbys(const owner_beat_message& heard);
  // Logs when beats of an owner begin or cease to arrive.
  void note_owner_contact();
  bool beats() const;
  std::optional<peer_address> owner_address() const;

  event_loop& io;
  daemon_ports ports;
  const clock& time;
  event_log& events;
  metric_registry& metrics;
  const daemon_options options;
  submission_writer writer;
  owner_relay relay;
  beat_sender beat;
  state_inquiry elsewhere;
  job_desk front;
  advice_desk advice;
  log_follower config_feed;
  work_feed work;
  peer_desk peer_requests;
  ownership claim;
  std::unique_ptr<log_follower> runner_feed;
  std::unique_ptr<owner> orders;
  std::set<std::string> runners_seen;  // Since the list was last loaded.
  std::set<std::string> runners_known;
  epoch owned{0};
  std::int64_t fenced_at = -1;  // End of the log at our fence; -1: not fenced yet.
  timer hello;
  timer beat_timer;
  std::optional<peer_address> beat_source;  // Of the newest owner that beats.
  std::vector<peer_address> standbys;       // Of that owner, as far as they are known.
  instant last_beat{0};
  timer retire;
  std::unique_ptr<owner> retired;
  std::unique_ptr<log_follower> retired_feed;
  bool hears_owner = false;
  bool draining = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
