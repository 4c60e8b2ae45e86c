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
  // A peer that was not heard for this long gets no more beats.
  millis peer_expiry{10'000};
  // One beat in so many names the standbys, which are chosen anew with it, and tells
  // these of all peers, so that a successor knows them too. The others are short: a
  // host with a narrow link sends them to every daemon.
  std::int64_t peer_list_period = 10;
  // An owner that does not know its peers yet lets them be for this long.
  millis choice_delay{1'000};
  // Changes of phase in one datagram; the others go with the next beat.
  std::size_t phases_per_heartbeat = 300;
  // Peers named in one datagram; the others go with the next beat that names any.
  std::size_t peers_per_heartbeat = 120;
  standby_options standbys;
};

// The daemons that this one knows, and the owner's beats to them.
//
// Beats do three things: their end tells of an owner's death sooner than the log can,
// they say who is to follow the work, and to those that do they carry what callers ask
// about, so that they need not read the log all the time. All of it can be had
// elsewhere, so any beat may be lost.
class heartbeat_sender {
 public:
  heartbeat_sender(peer_port& link, const clock& time, daemon_id self, domain_id domain,
                   const heartbeat_options& options = {});

  // A peer was heard itself.
  void on_hello(const std::string& daemon, const peer_address& address, const hello_message& hello);
  // The owner says that it heard the peer lately.
  void on_peer_listed(const known_peer& peer);
  // All peers that were heard, or heard of, lately.
  std::vector<known_peer> known() const;
  // This daemon has become the owner.
  void begin();
  // To be told with the next beat.
  void note(const job_id& job, job_phase phase);
  void send(epoch at);
  // Where the daemons of these names listen, as far as they are known.
  std::vector<peer_address> addresses_of(const std::vector<std::string>& daemons) const;
  const heartbeat_options& settings() const { return this->options; }

 private:
  struct peer {
    peer_address address;
    instant last_received{0};
    domain_id domain;
    double relative_capacity = 0;
  };

  void choose();
  leader_heartbeat_message make_heartbeat(epoch at, bool list_standbys) const;
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
  std::optional<std::vector<std::string>> standbys;
  std::string last_listed;  // Peer that the last list ended with.
  instant begun{0};
  std::int64_t sent = 0;
};

}  // namespace monsoonmux::cell
