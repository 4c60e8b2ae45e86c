#include "daemon/slot_lease_issuer.h"

#include <algorithm>

namespace monsoonmux {
namespace {

// A team whose limit is this many calls or more counts as unlimited.
constexpr std::int64_t no_call_limit = 1'000'000;

}  // namespace

void slot_lease_issuer::tick(instant now, const send_lease& send) {
  for (const auto& placer : this->core.placers()) {
    const placer_status status = placer->status();
    if (status.phase == placer_phase::idle) {
      this->domains.erase(status.domain);
    } else {
      this->issue_leases(status, now, send);
    }
  }
}

millis slot_lease_issuer::longest_call_duration() const {
  millis longest{};
  for (const auto& [name, queue] : this->core.state.config()->doc.queues) {
    if (queue.kind == queue_kind::calls) {
      longest = std::max(longest, queue.deadline);
    }
  }
  return longest + abandoned_call_release_delay;
}

std::vector<slot_subject> slot_lease_issuer::subjects(const domain_id& domain) const {
  std::vector<slot_subject> out;
  for (const runner_host& host : this->core.hosts.hosts()->runners) {
    if (host.domain == domain && !host.leaving) {
      out.push_back({host.runner.text, std::min(host.slots, host.connections)});
    }
  }
  const config_ptr config = this->core.state.config();
  const auto& names = config->doc.domains;
  const auto index = std::distance(names.begin(), names.find(domain));
  const auto count = static_cast<std::int64_t>(names.size());
  for (const auto& [team, team_settings] : config->doc.teams) {
    if (team_settings.limit.calls < no_call_limit && count > 0) {
      const std::int64_t domain_share =
          team_settings.limit.calls / count + (index < team_settings.limit.calls % count ? 1 : 0);
      out.push_back({"team:" + team.text, static_cast<std::int32_t>(domain_share)});
    }
  }
  return out;
}

void slot_lease_issuer::issue_leases(const placer_status& status, instant now,
                                     const send_lease& send) {
  domain_state& d = this->domains[status.domain];
  if (!d.allocator || d.leader_epoch != status.number) {
    // The first placer in the history of a domain knows that no slot leases are
    // outstanding.
    const bool first_ever = status.first_ever;
    if (!first_ever && status.phase == placer_phase::recovering && !status.fenced &&
        status.number.value == 1) {
      // Whether this placer is the first one is known once it has read its own
      // fencing record back. Waiting for that takes less time than the recovery
      // delay of an allocator that has to assume outstanding leases.
      return;
    }
    d.leader_epoch = status.number;
    d.allocator = std::make_unique<slot_allocator>(slot_allocator_options{}, status.number,
                                                   this->longest_call_duration(), now, first_ever);
  }
  std::vector<member> daemons;
  std::vector<slot_receiver> receivers;
  for (const member& m : this->core.members.alive(now)) {
    if (m.last_heartbeat.domain == status.domain && !m.last_heartbeat.draining) {
      daemons.push_back(m);
      receivers.push_back({m.id, m.incarnation, m.last_heartbeat.now, m.last_heartbeat.lease_placer,
                           m.last_heartbeat.lease_number, m.last_heartbeat.held});
    }
  }
  if (receivers.empty()) {
    return;
  }
  std::vector<slot_lease> leases = d.allocator->plan(this->subjects(status.domain), receivers, now);
  for (std::size_t i = 0; i < leases.size(); ++i) {
    leases[i].domain = status.domain;
    send(daemons[i], leases[i]);
  }
}

}  // namespace monsoonmux
