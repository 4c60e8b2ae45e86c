#pragma once

#include <string>

#include "base/clock.h"
#include "platform/worker_port.h"

namespace monsoonmux {

// What the system assumes of a worker as an elector, as a model that tests and
// stand-ins share: one grant at a time, kept until it expires by the worker's
// clock, and the highest recorded epoch. A request with a ttl of 0 gives the
// grant back. A restart forgets the grant and the
// number; `uptime` tells.
class elector {
 public:
  explicit elector(instant started) : started(started) {}

  placement_lease_answer on_request(const placement_lease_request& request, instant now);
  std::string describe() const;

 private:
  instant started;
  std::string holder;
  instant until;
  epoch recorded;
};

}  // namespace monsoonmux
