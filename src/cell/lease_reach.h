#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "cell/inherited_leases.h"
#include "cell/sender_clock.h"
#include "model/cell_record.h"

namespace monsoonmux::cell {

struct lease_reach_options {
  // No lease lasts longer than this after the claim or renewal under which it was granted was
  // sent, if no command is executed late.
  millis horizon;
  // A command is executed later than it was sent by this at most, so a lease lasts longer than the
  // above by no more.
  millis latest_execution;
  // The same as `horizon` for a leader that writes no lease_bounds, from when its claim was read
  // on.
  millis horizon_without_bounds;
};

// Derives from the claims and renewals in the log until when leases may last if no further one
// is stored.
class lease_reach {
 public:
  lease_reach(const lease_reach_options& options, instant now);

  // The record at this offset was read now.
  void add(std::int64_t offset, const lease_bounds& bounds, instant now);
  void add(std::int64_t offset, const leader_claim& claim, instant now);
  const inherited_leases& leases() const { return this->newest; }

 private:
  struct read_bounds {
    std::int64_t offset = 0;
    lease_bounds bounds;
  };
  // What a claim says at the least whose sender writes no bounds.
  inherited_leases without_bounds(instant now) const;
  inherited_leases reach_of(const lease_bounds& bounds, instant read) const;

  const lease_reach_options options;
  sender_clock clock_of_sender;
  std::optional<read_bounds> last_bounds;
  inherited_leases newest;
};

}  // namespace monsoonmux::cell
