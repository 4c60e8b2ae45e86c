#pragma once

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/quantity.h"

namespace monsoonmux::cell {

// Until when leases on one runner may last.
struct runner_lease_bound {
  std::string runner;
  millis remaining;  // From the time at which the record was sent, if no command is executed late.
  // The same in any case. Missing in records of builds that reckoned without late commands.
  std::optional<millis> remaining_if_late = std::nullopt;

  // The field that may be missing is archived behind the record's usual fields.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->runner, this->remaining);
  }
};

// What a successor of the sender may rely on about leases. Written directly before each claim
// and renewal of the sender, in the same append; it is void as soon as a later claim or renewal
// is in the log.
struct lease_bounds {
  epoch leader_epoch;
  std::uint64_t nonce = 0;   // That of the claim.
  std::int64_t sent_ms = 0;  // On the sender's monotonic clock.
  // No lease on any runner lasts longer than this, if no command is executed late. If it is
  // missing, none lasts longer than the lease horizon.
  std::optional<millis> longest;
  // The same in any case, archived behind the usual fields.
  std::optional<millis> longest_if_late;
  // Runners that the sender does not reach: it extends no lease there before a record without
  // them is in the log.
  std::vector<runner_lease_bound> runners;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->leader_epoch, this->nonce, this->sent_ms, this->longest, this->runners);
  }
};

}  // namespace monsoonmux::cell
