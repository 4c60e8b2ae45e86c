#pragma once

#include <string>
#include <vector>

#include "base/ids.h"

namespace monsoonmux::cell {

// A daemon that may be chosen as a standby.
struct standby_candidate {
  std::string daemon;
  domain_id domain;
  double relative_capacity = 0;  // Of the daemon's host, 0 to 1.
};

struct standby_options {
  std::size_t max_standbys = 7;
  // At least this many are chosen, however low their relative capacity is.
  std::size_t min_standbys = 2;
  // Daemons whose relative capacity is below this fraction of the highest one are not
  // chosen: reading the log alone would take up their hosts.
  double min_relative_capacity = 0.25;
};

// Chooses the daemons that follow the work log beside the leader, so that each of them can
// take over at once. All other daemons don't read it, so the read load of a cell does not
// grow with the number of its daemons.
//
// Meant for a cell of hundreds of daemons on hosts of different capacity. The host with the
// highest relative capacity in each failure domain other than the leader's comes first, so
// that a standby survives the loss of the leader's domain; then the highest of all. The
// result does not depend on the order of the candidates.
std::vector<std::string> choose_standbys(std::vector<standby_candidate> candidates,
                                         const domain_id& leader_domain,
                                         const standby_options& options = {});

}  // namespace monsoonmux::cell
