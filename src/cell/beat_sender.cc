// Two beats a turn: a short one that is the same for all, and one for the standbys with
// the changes of phase. What a beat to an ordinary daemon costs does not depend on how
// many jobs there are.

#include "cell/beat_sender.h"

#include <algorithm>

namespace monsoonmux::cell {

beat_sender::beat_sender(peer_port& peers_link, const clock& now, daemon_id name, domain_id at,
                         const beat_options& given)
    : link(peers_link), time(now), self(std::move(name)), domain(std::move(at)), options(given) {}

void beat_sender::heard(const std::string& daemon, const peer_address& address,
                        const hello_message& hello) {
  this->peers[daemon] = {address, this->time.now(), hello.domain, hello.relative_capacity};
}

void beat_sender::heard_of(const known_peer& p) {
  if (p.daemon != this->self.text) {
    this->peers[p.daemon] = {{p.host, p.port}, this->time.now(), p.domain, p.relative_capacity};
  }
}

std::vector<known_peer> beat_sender::known() const {
  std::vector<known_peer> out;
  for (const auto& [daemon, p] : this->peers) {
    out.push_back({daemon, p.address.host, p.address.port, p.domain, p.relative_capacity});
  }
  return out;
}

void beat_sender::begin() {
  this->begun = this->time.now();
  this->standbys.reset();
  this->changes.clear();
}

void beat_sender::note(const job_id& job, job_phase phase) {
  this->changes.push_back({job, phase});
}

void beat_sender::choose() {
  if (this->time.now() - this->begun < this->options.choose_after) {
    return;
  }
  std::vector<standby_candidate> candidates;
  for (const auto& [daemon, p] : this->peers) {
    candidates.push_back({daemon, p.domain, p.relative_capacity});
  }
  this->standbys = choose_standbys(std::move(candidates), this->domain, this->options.standbys);
}

void beat_sender::send(epoch at) {
  const instant now = this->time.now();
  std::erase_if(this->peers, [&](const auto& entry) {
    return now - entry.second.heard > this->options.forget_peer;
  });
  const bool names_peers = this->sent++ % this->options.peers_in_one_of == 0;
  if (names_peers) {
    this->choose();
  }
  this->send_plain(at, names_peers);
  this->send_to_standbys(at, names_peers);
}

owner_beat_message beat_sender::plain_beat(epoch at, bool names_standbys) const {
  owner_beat_message beat;
  beat.leader_epoch = at;
  if (this->standbys && !names_standbys) {
    beat.choice_stands = true;
    return beat;
  }
  beat.standbys = this->standbys;
  if (this->standbys) {
    beat.standby_addresses = this->addresses_of(*this->standbys);
  }
  return beat;
}

void beat_sender::send_plain(epoch at, bool names_standbys) const {
  std::vector<peer_address> others;
  for (const auto& [daemon, p] : this->peers) {
    const bool follows =
        !this->standbys ||
        std::find(this->standbys->begin(), this->standbys->end(), daemon) != this->standbys->end();
    if (!follows) {
      others.push_back(p.address);
    }
  }
  const owner_beat_message beat = this->plain_beat(at, names_standbys);
  this->link.send_to_all({this->self.text, beat}, others);
}

void beat_sender::send_to_standbys(epoch at, bool names_peers) {
  owner_beat_message beat = this->plain_beat(at, names_peers);
  const std::size_t count = std::min(this->changes.size(), this->options.phases_per_beat);
  const auto end = this->changes.begin() + static_cast<std::ptrdiff_t>(count);
  beat.phases.assign(this->changes.begin(), end);
  this->changes.erase(this->changes.begin(), end);
  if (names_peers) {
    beat.peers = this->next_peers();
  }
  std::vector<peer_address> to;
  if (this->standbys) {
    to = this->addresses_of(*this->standbys);
  } else {
    for (const auto& [daemon, p] : this->peers) {
      to.push_back(p.address);
    }
  }
  this->link.send_to_all({this->self.text, std::move(beat)}, to);
}

// As many as fit into a datagram, going on where the last list ended.
std::vector<known_peer> beat_sender::next_peers() {
  std::vector<known_peer> out;
  auto it = this->peers.upper_bound(this->last_named);
  while (out.size() < std::min(this->options.peers_per_beat, this->peers.size())) {
    if (it == this->peers.end()) {
      it = this->peers.begin();
    }
    const auto& [daemon, p] = *it;
    out.push_back({daemon, p.address.host, p.address.port, p.domain, p.relative_capacity});
    ++it;
  }
  this->last_named = out.empty() ? std::string() : out.back().daemon;
  return out;
}

std::vector<peer_address> beat_sender::addresses_of(const std::vector<std::string>& daemons) const {
  std::vector<peer_address> out;
  for (const std::string& daemon : daemons) {
    const auto it = this->peers.find(daemon);
    if (it != this->peers.end()) {
      out.push_back(it->second.address);
    }
  }
  return out;
}

}  // namespace monsoonmux::cell
