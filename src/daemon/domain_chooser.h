#pragma once

#include <string>
#include <vector>

#include "member/membership.h"
#include "platform/host_list.h"
#include "state/job.h"

namespace monsoonmux {

// Divides a new job among the failure domains: services evenly over all domains
// that can run them, gangs whole to one, batch to the domain with the most room
// for the job and the least waiting. Fails with unsatisfiable if no domain has a
// worker that is large enough.
class domain_chooser {
 public:
  domain_chooser(const host_snapshot& hosts, const std::vector<member>& alive)
      : hosts(hosts), alive(alive) {}

  result<std::vector<job_part>> choose(const job_spec& spec) const;

 private:
  struct domain_capacity {
    domain_id domain;
    std::int64_t slots = 0;  // Tasks that fit on its empty workers.
    double free = 0;         // Tasks that its free amounts would hold.
    std::int64_t waiting = 0;
    bool has_leader = false;  // A live daemon places there.
  };

  std::vector<domain_capacity> capacities(const job_spec& spec) const;

  const host_snapshot& hosts;
  const std::vector<member>& alive;
};

}  // namespace monsoonmux
