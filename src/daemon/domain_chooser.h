#pragma once

#include <string>
#include <vector>

#include "member/membership.h"
#include "platform/host_list.h"
#include "state/job.h"

namespace monsoonmux {

// Assigns the tasks of a new job to failure domains. The tasks of a service are
// spread evenly over all domains that can run them. Gangs and batch jobs go to one
// domain as a whole: the one with the most free capacity for the job and the fewest
// waiting tasks. Fails with unsatisfiable if no domain has a worker that is large
// enough for a task, or if no domain can hold all tasks of a gang at once.
class domain_chooser {
 public:
  domain_chooser(const host_snapshot& hosts, const std::vector<member>& alive)
      : hosts(hosts), alive(alive) {}

  result<std::vector<job_part>> choose(const job_spec& spec) const;

 private:
  struct domain_capacity {
    domain_id domain;
    std::int64_t slots = 0;  // Tasks that fit on the domain's workers when idle.
    double free = 0;         // Tasks that fit in the sum of its free resources.
    std::int64_t waiting = 0;
    bool has_leader = false;  // A live daemon places in the domain.
  };

  std::vector<domain_capacity> capacities(const job_spec& spec) const;

  const host_snapshot& hosts;
  const std::vector<member>& alive;
};

}  // namespace monsoonmux
