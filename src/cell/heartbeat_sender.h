#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/host_limits.h"
#include "cell/peer_message.h"
#include "cell/peer_port.h"
#include "decide/standby_choice.h"

namespace monsoonmux::cell {

struct heartbeat_options {
  millis interval{100};
  // A peer that has sent no hello for this long, and was not listed by another leader, gets
  // no more heartbeats.
  millis peer_expiry{10'000};
  // Every n-th heartbeat lists the standbys, which are chosen anew for it, and lists the known
  // peers to the standbys, so that the next leader knows them too. All other heartbeats are
  // short, since a host with a narrow link has to send them to every daemon.
  std::int64_t peer_list_period = 10;
  // A new leader, which may not know its peers yet, chooses no standbys for this long; until
  // then it does not change which daemons follow the work topic.
  millis choice_delay{1'000};
  // Job phase changes per datagram; further ones are sent with the next heartbeat.
  std::size_t phases_per_heartbeat = 300;
  // Peers listed per datagram; further ones are sent with the next heartbeat that lists peers.
  std::size_t peers_per_heartbeat = 120;
  standby_options standbys;
};

// Keeps the daemons that this one knows, and sends the leader's heartbeats to them.
//
// Heartbeats serve three purposes. Their absence reveals the failure of a leader sooner than
// the log can. They name the standbys, which are to follow the work topic. And they carry job
// phase changes, which callers query, to the standbys, so that these need not read the log
// all the time. All of this is available elsewhere too, so any heartbeat may be lost.
class heartbeat_sender {
 public:
  heartbeat_sender(peer_port& link, const clock& time, daemon_id self, domain_id domain,
                   const heartbeat_options& options = {});

  // The peer itself sent a hello.
  void on_hello(const std::string& daemon, const peer_address& address, const hello_message& hello);
  // A leader listed the peer among those that it knows.
  void on_peer_listed(const known_peer& peer);
  // All peers that sent a hello, or were listed by a leader, within `peer_expiry`.
  std::vector<known_peer> known_peers() const;
  // This daemon has become the leader. Until it chooses standbys, those of the previous leader
  // serve as such.
  void start_leadership(std::vector<peer_address> previous_standbys);
  // Adds a phase change to the next heartbeat to the standbys.
  void add_phase_change(const job_id& job, job_phase phase);
  void send(epoch at);
  // Addresses of those of the named daemons that are known.
  std::vector<peer_address> addresses_of(const std::vector<std::string>& daemons) const;
  const heartbeat_options& settings() const { return this->options; }

 private:
  struct peer {
    peer_address address;
    instant last_received{0};
    domain_id domain;
    double relative_capacity = 0;
  };

  void update_standbys();
  leader_heartbeat_message make_heartbeat(epoch at, bool list_standbys) const;
  std::vector<peer_address> standby_addresses() const;
  void send_to_others(epoch at, bool list_standbys) const;
  void send_to_standbys(epoch at, bool list_peers);
  std::vector<known_peer> next_peers();

  peer_port& link;
  const clock& time;
  const daemon_id self;
  const domain_id domain;
  const heartbeat_options options;
  std::map<std::string, peer> peers;
  std::vector<job_phase_change> changes;
  std::optional<std::vector<std::string>> standbys;  // nullopt until they are chosen.
  std::vector<peer_address> previous;                // Standbys of the previous leader.
  std::string last_listed;                           // Last peer in the previous list of peers.
  instant leader_since{0};
  std::int64_t sent = 0;
};

}  // namespace monsoonmux::cell
