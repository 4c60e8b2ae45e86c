#include "cell/beat_sender.h"

#include <algorithm>

namespace monsoonmux::cell {

beat_sender::beat_sender(peer_port& peers_link, const clock& now, daemon_id name,
                         const beat_options& given)
    : link(peers_link), time(now), self(std::move(name)), options(given) {}

void beat_sender::heard(const std::string& daemon, const peer_address& address) {
  this->peers[daemon] = {address, this->time.now()};
}

void beat_sender::heard_of(const known_peer& p) {
  if (p.daemon != this->self.text) {
    this->peers[p.daemon] = {{p.host, p.port}, this->time.now()};
  }
}

void beat_sender::note(const job_id& job, job_phase phase) {
  this->changes.push_back({job, phase});
}

void beat_sender::send(epoch at) {
  const instant now = this->time.now();
  std::erase_if(this->peers, [&](const auto& entry) {
    return now - entry.second.heard > this->options.forget_peer;
  });
  owner_beat_message beat;
  beat.owner_epoch = at;
  const std::size_t count = std::min(this->changes.size(), this->options.phases_per_beat);
  const auto end = this->changes.begin() + static_cast<std::ptrdiff_t>(count);
  beat.phases.assign(this->changes.begin(), end);
  this->changes.erase(this->changes.begin(), end);
  if (this->sent++ % this->options.peers_in_one_of == 0) {
    for (const auto& [daemon, p] : this->peers) {
      beat.peers.push_back({daemon, p.address.host, p.address.port});
    }
  }
  const peer_message message{this->self.text, std::move(beat)};
  for (const auto& [daemon, p] : this->peers) {
    this->link.send(message, p.address);
  }
}

}  // namespace monsoonmux::cell
