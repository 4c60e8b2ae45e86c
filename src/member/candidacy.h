#pragma once

#include <map>
#include <vector>

#include "member/membership.h"

namespace monsoonmux {

struct candidacy_options {
  millis step_delay{1'500};          // A candidate waits this long per live one before it.
  millis other_domain_delay{8'000};  // Further wait of daemons of other domains.
};

// Says whether a daemon should try for a domain's placement right.
//
// Nobody tries while a live daemon reports that it places there. After that the
// domain's own daemons try in an order that differs by domain, each one step
// later; daemons of other domains follow, so that a domain which has lost all
// its entry hosts is still served. This only avoids useless contests; the right
// itself is safe whoever tries.
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
