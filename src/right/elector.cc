#include "right/elector.h"

#include <algorithm>

namespace monsoonmux {

placement_lease_answer elector::on_request(const placement_lease_request& request, instant now) {
  placement_lease_answer out;
  out.uptime = now - this->started;
  if (this->until > now && this->holder != request.holder) {
    out.recorded = this->recorded;
    return out;
  }
  this->holder = request.holder;
  this->until = request.ttl.value == 0 ? now : std::max(this->until, now + request.ttl);
  this->recorded = std::max(this->recorded, request.number);
  out.granted = true;
  out.recorded = this->recorded;
  return out;
}

std::string elector::describe() const {
  return this->holder + "@" + std::to_string(this->until.value) + "#" +
         std::to_string(this->recorded.value) + "^" + std::to_string(this->started.value);
}

}  // namespace monsoonmux
