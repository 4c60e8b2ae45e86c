#pragma once

#include <map>
#include <vector>

#include "member/membership.h"

namespace monsoonmux {

struct candidacy_options {
  millis step_delay{1'500};          // Delay for each live daemon that precedes the candidate.
  millis other_domain_delay{8'000};  // Additional delay for daemons of other domains.
};

// Decides whether a daemon should compete for a domain's placement lease.
//
// While a live daemon reports that it places in the domain, no other daemon competes.
// After that the domain's own daemons compete in an order that differs between
// domains, each one step delay after the previous one. Daemons of other domains
// follow, so that a domain that has lost all its entry hosts is still served. The
// order only avoids needless contention; the lease is safe whichever daemons compete.
class candidacy {
 public:
  candidacy(daemon_id self, domain_id home, candidacy_options options)
      : self(std::move(self)), home(std::move(home)), options(options) {}

  // `alive` includes this daemon itself.
  bool should_compete(const domain_id& domain, const std::vector<member>& alive, instant now);

 private:
  std::size_t rank(const domain_id& domain, const std::vector<member>& alive, bool& local) const;

  const daemon_id self;
  const domain_id home;
  const candidacy_options options;
  std::map<domain_id, instant> vacant_since;
};

}  // namespace monsoonmux
