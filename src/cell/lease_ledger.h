#pragma once

#include <set>
#include <string>
#include <vector>

#include "model/lease_bounds.h"

namespace monsoonmux::cell {

// On which runners a leader must not extend leases, since a successor may rely on a renewal that
// names them.
class lease_ledger {
 public:
  // A renewal with these bounds is sent.
  void sent(const std::vector<runner_lease_bound>& bounds);
  // The renewal that was sent last is in the log, so none that was sent before counts.
  void stored();
  // True if a renewal that names the runner is, or may be, the newest one in the log.
  bool is_named(const std::string& runner) const { return this->named.contains(runner); }
  // The runners that the renewal named that was sent last.
  const std::set<std::string>& in_last_sent() const { return this->last_sent; }
  bool was_sent(const std::string& runner) const { return this->last_sent.contains(runner); }

 private:
  std::set<std::string> last_sent;
  std::set<std::string> named;
};

}  // namespace monsoonmux::cell
