#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cell/peer_message.h"
#include "cell/peer_port.h"

namespace monsoonmux::cell {

struct beat_options {
  millis every{100};
  // A peer that was not heard for this long gets no more beats.
  millis forget_peer{10'000};
  // One beat in so many tells of all peers, so that a successor knows them too.
  std::int64_t peers_in_one_of = 10;
  // Changes of phase in one datagram; the others go with the next beat.
  std::size_t phases_per_beat = 300;
};

// The daemons that this one knows, and the owner's beats to them.
//
// Beats do two things: their end tells of an owner's death sooner than the log can,
// and they carry what callers ask about, so that other daemons need not read the log
// all the time. All that they say is in the log as well, so any may be lost.
class beat_sender {
 public:
  beat_sender(peer_port& link, const clock& time, daemon_id self, const beat_options& options = {});

  // A peer was heard itself.
  void heard(const std::string& daemon, const peer_address& address);
  // The owner says that it heard the peer lately.
  void heard_of(const known_peer& peer);
  // To be told with the next beat.
  void note(const job_id& job, job_phase phase);
  void send(epoch at);
  const beat_options& settings() const { return this->options; }

 private:
  struct peer {
    peer_address address;
    instant heard{0};
  };

  peer_port& link;
  const clock& time;
  const daemon_id self;
  const beat_options options;
  std::map<std::string, peer> peers;
  std::vector<job_phase_change> changes;
  std::int64_t sent = 0;
};

}  // namespace monsoonmux::cell
