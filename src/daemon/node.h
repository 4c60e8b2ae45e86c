#pragma once

#include <atomic>
#include <functional>
#include <set>
#include <string>
#include <thread>

#include "daemon/node_core.h"
#include "daemon/slot_lease_issuer.h"
#include "member/candidacy.h"
#include "wire/peer_link.h"

namespace monsoonmux {

// One daemon without its HTTP front end: the components, and the control thread
// that drives them. The constructor throws std::runtime_error if the peer port is
// already in use.
//
//   node n(settings);
//   ...
//   n.drain([] { return open_requests(); });
class node {
 public:
  explicit node(const settings& options);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  node_core& parts() { return this->core; }
  bool is_draining() const { return this->draining; }

  // Reports to the load balancer and to the peers that this daemon is draining,
  // releases its placement leases and goes on serving until nothing has been in
  // progress for one second: no open request, no call, no pending log append and no
  // unreleased lease. Returns true if that happened within the settings'
  // drain_timeout.
  bool drain(const std::function<std::int64_t()>& open_requests);

 private:
  void run();
  void tick(instant now);
  void apply_config();
  void fetch_hosts();
  void apply_hosts();
  void send_heartbeats(instant now);
  heartbeat make_heartbeat(instant now) const;
  void update_candidates(instant now);
  void send_budget_requests(instant now);
  void refresh_records(instant now);
  void publish_metrics();
  void on_datagram(const peer_message& message);
  peer_body on_request(const peer_message& message);
  void send_to(const member& to, const peer_body& body);

  node_core core;
  sealer message_sealer;
  candidacy candidates;
  slot_lease_issuer lease_issuer;
  std::unique_ptr<peer_link> link;

  // Used by the control thread only.
  std::set<std::string> domain_peers;  // Peer addresses of the daemons of this domain.
  std::int64_t heartbeats_sent = 0;
  config_version applied_config{-1};
  std::shared_ptr<const host_snapshot> applied_hosts;
  instant next_placer_tick;
  instant next_heartbeat;
  instant next_host_fetch;
  instant next_refresh;

  std::atomic<bool> draining{false};
  std::atomic<bool> stopping{false};
  std::atomic<std::int64_t> snapshots_served{0};
  std::thread control_thread;
};

}  // namespace monsoonmux
