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

struct beat_options {
  millis every{100};
  // A peer that was not heard for this long gets no more beats.
  millis forget_peer{10'000};
  // One beat in so many names the standbys, which are chosen anew with it, and tells
  // these of all peers, so that a successor knows them too. The others are short: a
  // host with a narrow link sends them to every daemon.
  std::int64_t peers_in_one_of = 10;
  // An owner that does not know its peers yet lets them be for this long.
  millis choose_after{1'000};
  // Changes of phase in one datagram; the others go with the next beat.
  std::size_t phases_per_beat = 300;
  // Peers named in one datagram; the others go with the next beat that names any.
  std::size_t peers_per_beat = 120;
  standby_options standbys;
};

// The daemons that this one knows, and the owner's beats to them.
//
// Beats do three things: their end tells of an owner's death sooner than the log can,
// they say who is to follow the work, and to those that do they carry what callers ask
// about, so that they need not read the log all the time. All of it can be had
// elsewhere, so any beat may be lost.
class beat_sender {
 public:
  beat_sender(peer_port& link, const clock& time, daemon_id self, domain_id domain,
              const beat_options& options = {});

  // A peer was heard itself.
  void heard(const std::string& daemon, const peer_address& address, const hello_message& hello);
  // The owner says that it heard the peer lately.
  void heard_of(const known_peer& peer);
  // All peers that were heard, or heard of, lately.
  std::vector<known_peer> known() const;
  // This daemon has become the owner.
  void begin();
  // To be told with the next beat.
  void note(const job_id& job, job_phase phase);
  void send(epoch at);
  // Where the daemons of these names listen, as far as they are known.
  std::vector<peer_address> addresses_of(const std::vector<std::string>& daemons) const;
  const beat_options& settings() const { return this->options; }

 private:
  struct peer {
    peer_address address;
    instant heard{0};
    domain_id domain;
    double relative_capacity = 0;
  };

  void choose();
  owner_beat_message plain_beat(epoch at, bool names_standbys) const;
  void send_plain(epoch at, bool names_standbys) const;
  void send_to_standbys(epoch at, bool names_peers);
  std::vector<known_peer> next_peers();

  peer_port& link;
  const clock& time;
  const daemon_id self;
  const domain_id domain;
  const beat_options options;
  std::map<std::string, peer> peers;
  std::vector<job_phase_change> changes;
  std::optional<std::vector<std::string>> standbys;
  std::string last_named;  // Peer that the last list ended with.
  instant begun{0};
  std::int64_t sent = 0;
};

}  // namespace monsoonmux::cell
