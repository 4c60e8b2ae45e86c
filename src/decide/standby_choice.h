#pragma once

#include <string>
#include <vector>

#include "base/ids.h"

namespace monsoonmux::cell {

// A daemon that may be asked to follow the work.
struct standby_candidate {
  std::string daemon;
  domain_id domain;
  double relative_capacity = 0;  // Of its host, 0 to 1.
};

struct standby_options {
  std::size_t max_standbys = 7;
  // So many are chosen however weak they are.
  std::size_t min_standbys = 2;
  // A host with less than this part of the strongest one's strength would be taken up
  // by reading alone.
  double min_relative_capacity = 0.25;
};

// Which daemons follow the work beside its owner, so that each of them can take over
// at once. All others read none of it: what a cell reads then does not grow with the
// number of its daemons.
//
// Answers the load of a cell of hundreds of daemons on hosts of unlike strength. The
// strongest host of each other zone comes first, so that the loss of a zone leaves a
// successor; then the strongest of all. Equal candidates give equal choices.
std::vector<std::string> choose_standbys(std::vector<standby_candidate> candidates,
                                         const domain_id& leader_domain,
                                         const standby_options& options = {});

}  // namespace monsoonmux::cell
