// Each round sends two heartbeats: a short one, the same for all other daemons, and one for
// the standbys with the job phase changes. The size of a heartbeat to an ordinary daemon
// therefore does not depend on the number of jobs. A new leader knows its standbys only after
// `choice_delay`; sending the long heartbeat to all daemons until then would fill a narrow
// link just when the takeover needs it.

#include "cell/heartbeat_sender.h"

#include <algorithm>

namespace monsoonmux::cell {

heartbeat_sender::heartbeat_sender(peer_port& peers_link, const clock& now, daemon_id name,
                                   domain_id own_domain, const heartbeat_options& given)
    : link(peers_link),
      time(now),
      self(std::move(name)),
      domain(std::move(own_domain)),
      options(given) {}

void heartbeat_sender::on_hello(const std::string& daemon, const peer_address& address,
                                const hello_message& hello) {
  this->peers[daemon] = {address, this->time.now(), hello.domain, hello.relative_capacity};
}

void heartbeat_sender::on_peer_listed(const known_peer& p) {
  if (p.daemon != this->self.text) {
    this->peers[p.daemon] = {{p.host, p.port}, this->time.now(), p.domain, p.relative_capacity};
  }
}

std::vector<known_peer> heartbeat_sender::known_peers() const {
  std::vector<known_peer> out;
  for (const auto& [daemon, p] : this->peers) {
    out.push_back({daemon, p.address.host, p.address.port, p.domain, p.relative_capacity});
  }
  return out;
}

void heartbeat_sender::start_leadership(std::vector<peer_address> previous_standbys) {
  this->leader_since = this->time.now();
  this->standbys.reset();
  this->previous = std::move(previous_standbys);
  this->changes.clear();
}

void heartbeat_sender::add_phase_change(const job_id& job, job_phase phase) {
  this->changes.push_back({job, phase});
}

void heartbeat_sender::update_standbys() {
  if (this->time.now() - this->leader_since < this->options.choice_delay) {
    return;
  }
  std::vector<standby_candidate> candidates;
  for (const auto& [daemon, p] : this->peers) {
    candidates.push_back({daemon, p.domain, p.relative_capacity});
  }
  this->standbys = choose_standbys(std::move(candidates), this->domain, this->options.standbys);
}

void heartbeat_sender::send(epoch at) {
  const instant now = this->time.now();
  std::erase_if(this->peers, [&](const auto& entry) {
    return now - entry.second.last_received > this->options.peer_expiry;
  });
  const bool list_peers = this->sent++ % this->options.peer_list_period == 0;
  if (list_peers) {
    this->update_standbys();
  }
  this->send_to_others(at, list_peers);
  this->send_to_standbys(at, list_peers);
}

leader_heartbeat_message heartbeat_sender::make_heartbeat(epoch at, bool list_standbys) const {
  leader_heartbeat_message heartbeat;
  heartbeat.leader_epoch = at;
  if (this->standbys && !list_standbys) {
    heartbeat.standbys_unchanged = true;
    return heartbeat;
  }
  heartbeat.standbys = this->standbys;
  if (this->standbys) {
    heartbeat.standby_addresses = this->addresses_of(*this->standbys);
  }
  return heartbeat;
}

// The standbys or, as long as none are chosen, those of the previous leader. This daemon,
// which mostly was one of them, is not among its peers.
std::vector<peer_address> heartbeat_sender::standby_addresses() const {
  if (this->standbys) {
    return this->addresses_of(*this->standbys);
  }
  std::vector<peer_address> out;
  for (const auto& [daemon, p] : this->peers) {
    if (std::find(this->previous.begin(), this->previous.end(), p.address) !=
        this->previous.end()) {
      out.push_back(p.address);
    }
  }
  return out;
}

void heartbeat_sender::send_to_others(epoch at, bool list_standbys) const {
  const std::vector<peer_address> excluded = this->standby_addresses();
  std::vector<peer_address> others;
  for (const auto& [daemon, p] : this->peers) {
    if (std::find(excluded.begin(), excluded.end(), p.address) == excluded.end()) {
      others.push_back(p.address);
    }
  }
  const leader_heartbeat_message heartbeat = this->make_heartbeat(at, list_standbys);
  this->link.send_to_all({this->self.text, heartbeat}, others);
}

void heartbeat_sender::send_to_standbys(epoch at, bool list_peers) {
  leader_heartbeat_message heartbeat = this->make_heartbeat(at, list_peers);
  const std::size_t count = std::min(this->changes.size(), this->options.phases_per_heartbeat);
  const auto end = this->changes.begin() + static_cast<std::ptrdiff_t>(count);
  heartbeat.phases.assign(this->changes.begin(), end);
  this->changes.erase(this->changes.begin(), end);
  if (list_peers) {
    heartbeat.peers = this->next_peers();
  }
  this->link.send_to_all({this->self.text, std::move(heartbeat)}, this->standby_addresses());
}

// Returns as many peers as fit into a datagram, continuing where the previous list ended.
std::vector<known_peer> heartbeat_sender::next_peers() {
  std::vector<known_peer> out;
  auto it = this->peers.upper_bound(this->last_listed);
  while (out.size() < std::min(this->options.peers_per_heartbeat, this->peers.size())) {
    if (it == this->peers.end()) {
      it = this->peers.begin();
    }
    const auto& [daemon, p] = *it;
    out.push_back({daemon, p.address.host, p.address.port, p.domain, p.relative_capacity});
    ++it;
  }
  this->last_listed = out.empty() ? std::string() : out.back().daemon;
  return out;
}

std::vector<peer_address> heartbeat_sender::addresses_of(
    const std::vector<std::string>& daemons) const {
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
