#pragma once

#include <string>

#include "base/clock.h"
#include "platform/worker_port.h"

namespace monsoonmux {

// A model of a worker as an elector, shared by tests and stand-ins: it implements
// what the system assumes of workers. An elector has at most one grant at a time,
// kept until it expires by the worker's clock, and remembers the highest recorded
// epoch. A request with a ttl of 0 releases the grant. A restart loses the grant and
// the epoch; candidates recognize a restart by `uptime` in the answer.
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
